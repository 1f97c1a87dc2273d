package event

// Events 1700 to 1799: operators.
var (
	PublicationAccepted = register(1700, "PublicationAccepted", Info,
		"a template was published and is in force", "none")
	PublicationRefused = register(1701, "PublicationRefused", Warn,
		"a template was not accepted; what was in force stays", "look at Reason; revise the template from the current revision and publish again")
	PublicationInDoubt = register(1702, "PublicationInDoubt", Warn,
		"whether a publication took effect is not known yet", "publish again with the same PublicationID; it takes effect at most once")
	OperatorRejected = register(1703, "OperatorRejected", Warn,
		"a request came to the operators' address without the right token", "find out who sent it; replace the token if it may be known")
	DrainAsked = register(1704, "DrainAsked", Info,
		"an operator began a planned stop of this VM", "none")
)
