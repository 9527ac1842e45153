// Package operator implements the interfaces for operators: parsing and validation of settings and configuration files, the
// operators' HTTP API and its client, the routing table, and the export of metrics.
//
// A settings file belongs to one VM, which reads it when it starts. The fleet document and the contracts are published through
// the platform's log and are the same on every VM. All files are INI files with camelCase keys. Validation reports all
// problems of a file at once, each with the file, section, key, value and the allowed values.
package operator
