// Package oplog speaks to the platform's services: the append-only log, the list of VMs and the weight store.
//
// The log is read as a state machine, [State]. A record that publishes a document names the revision that it was based on;
// a record whose base is not the document's current revision is void for every reader alike, so that racing writers get one
// winner. The first claim of an idempotency key by offset wins. Applied offsets, revisions and generations never go down.
// [Store] runs the reader, the group commit and the checkpoints over a [Log].
package oplog
