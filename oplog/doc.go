// Package oplog contains clients of the platform's services: the append-only log, the VM list and the weight store.
//
// [State] is a replicated state machine over the records of the log. A record that publishes a document names the revision
// that it is based on. Every reader rejects a record whose base is not the document's current revision, so that exactly one
// of several concurrent writers succeeds. Of several claims of an idempotency key, the one with the lowest offset wins.
// Applied offsets, revisions and generations never decrease. [Store] runs the reader, the group commit and the checkpoints on
// top of a [Log]. [TopicReplica] holds the newest records of a compacted topic.
package oplog
