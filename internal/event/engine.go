package event

// Events 1400 to 1499: backend servers.
var (
	EngineInDoubt = register(1400, "EngineInDoubt", Warn,
		"no response came to an order to a model engine; the order may have taken effect", "check the engine if it recurs; the outcome reported for the request itself is still correct")
	EngineStreamTorn = register(1401, "EngineStreamTorn", Error,
		"a model engine sent an unexpected token; the stream was closed", "take the engine out of service and report it to its vendor")
	EngineOrdered = register(1402, "EngineOrdered", Info,
		"a model engine executed an order to load, to change its role or to raise its fencing token", "none")
	ServiceInDoubt = register(1410, "ServiceInDoubt", Warn,
		"no complete response came to a call of a plain service; the call may have taken effect", "check the server if it recurs; the outcome reported for the request itself is still correct")
)
