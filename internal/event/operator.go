package event

// Events 1700 to 1799: operators.
var (
	PublicationAccepted = register(1700, "PublicationAccepted", Info,
		"a template was published and is in force", "none")
	PublicationRefused = register(1701, "PublicationRefused", Warn,
		"a template was rejected; the previous one stays in force", "see Reason; revise the template from the current revision and publish again")
	PublicationInDoubt = register(1702, "PublicationInDoubt", Warn,
		"it is not known yet whether a publication took effect", "publish again with the same PublicationID; it takes effect at most once")
	OperatorRejected = register(1703, "OperatorRejected", Warn,
		"a request to the operators' address did not carry the right token", "find out who sent it; replace the token if it may have leaked")
	DrainAsked = register(1704, "DrainAsked", Info,
		"an operator began a planned stop of this VM", "none")
)
