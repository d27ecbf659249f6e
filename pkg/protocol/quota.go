package protocol

// QuotaRequest asks the granter of a shard for requests of limited client accounts.
type QuotaRequest struct {
	From  string // id of the sending VM
	Shard int
	// Newest is the revision of the newest operator entry that the sender has.
	Newest int64
	Wants  []QuotaWant
}

// QuotaWant is a number of requests of one account.
type QuotaWant struct {
	Account string
	Count   int
}

// QuotaReply grants requests. They may be spent for a fixed time after the call was
// sent.
type QuotaReply struct {
	// Granting is false if the VM does not grant for the shard.
	Granting bool
	Newest   int64
	Grants   []QuotaGrant // in the order of QuotaRequest.Wants
}

// QuotaGrant is the answer to a QuotaWant. NextMs is the time until the shard has
// another request if Count is less than what was asked for.
type QuotaGrant struct {
	Count  int
	NextMs int64
}
