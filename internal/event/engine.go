package event

// Events 1400 to 1499: backend servers.
var (
	EngineInDoubt = register(1400, "EngineInDoubt", Warn,
		"an order to a model engine may have had its effect, and no answer came", "look at the engine if it goes on; the request itself ends truthfully")
	EngineStreamTorn = register(1401, "EngineStreamTorn", Error,
		"a model engine sent a token that was not due; the stream was dropped", "take the engine out of service and report it to its maker")
	EngineOrdered = register(1402, "EngineOrdered", Info,
		"a model engine carried out an order to load or to change its role", "none")
	ServiceInDoubt = register(1410, "ServiceInDoubt", Warn,
		"a call to a plain service may have had its effect, and no whole answer came", "look at the server if it goes on; the request itself ends truthfully")
)
