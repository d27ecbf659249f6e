package protocol

// QuotaRequest asks the granter of a shard for requests of limited client accounts.
type QuotaRequest struct {
	From  string // id of the sending VM
	Shard int
	// Newest, NewestEra and Era are as in LoadsRequest.
	Newest         int64
	NewestEra, Era uint64
	Wants          []QuotaWant
	// Replaced is the revision of the claim of the shard, by the VM ReplacedVM, that the
	// sender has replaced; 0 if the call asks for grants. The receiver grants no more
	// under it.
	Replaced   int64
	ReplacedVM string
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
	// Yielded is true if nobody at this address grants any more under the replaced claim.
	Yielded bool
	// Newest, NewestEra and Era are as in LoadsRequest.
	Newest         int64
	NewestEra, Era uint64
	Grants         []QuotaGrant // in the order of QuotaRequest.Wants
}

// QuotaGrant is the answer to a QuotaWant. NextMs is the time until the shard has
// another request if Count is less than what was asked for.
type QuotaGrant struct {
	Count  int
	NextMs int64
}
