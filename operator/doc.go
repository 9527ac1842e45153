// Package operator speaks to operators: settings and configuration files with their checks, the operators' HTTP API with its
// client, and metrics.
//
// A settings file belongs to one VM and is read at its start. The fleet document and the contracts are published through the
// platform's log and are the same on every VM. All files are INI with camelCase keys. A check reports all problems at once,
// each with file, section, key, value and what is allowed.
package operator
