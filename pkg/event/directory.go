package event

import "github.com/rs/zerolog"

// Events of the directory, which keeps a copy of the objects in the platform's store.
var (
	StoreLost = define(1140, "store_lost", zerolog.WarnLevel,
		"reading from the store failed; the node continues with the last known objects",
		"Check the store and the network path to it; meanwhile, nodes that can reach it forward changes to this node.")
	StoreRegained = define(1141, "store_regained", zerolog.InfoLevel, "the store can be read again", "")
	HistoryLost   = define(1142, "history_lost", zerolog.InfoLevel,
		"the store no longer has all changes since the last revision read; all objects are listed again", "")
	RecordRefused = define(1144, "record_refused", zerolog.WarnLevel,
		"the record of an instance is invalid and was ignored",
		"Delete the object that the error names if it belongs to no node.")
	RecordStored = define(1145, "record_stored", zerolog.InfoLevel,
		"this node's instance record was written to the store", "")
	RecordNotStored = define(1146, "record_not_stored", zerolog.WarnLevel,
		"writing this node's instance record to the store failed; it is sent to other nodes and the write is retried",
		"Check the store.")
	RecordsFromPeer = define(1147, "records_from_peer", zerolog.InfoLevel,
		"newer instance records were received from another node", "")
	RecordRecalled = define(1149, "record_recalled", zerolog.InfoLevel,
		"the store and other nodes were asked what an earlier run of this node had published", "")
	RecordNotRemoved = define(1150, "record_not_removed", zerolog.WarnLevel,
		"removing the record of an instance that departed long ago from the store failed; it is tried again",
		"Check the store.")
	RecordLost = define(1151, "record_lost", zerolog.WarnLevel,
		"the store no longer holds this node's instance record; the record is written again",
		"None after a restore of the store; otherwise find out what removes instance records.")
	StoreRestored = define(1152, "store_restored", zerolog.WarnLevel,
		"the store has come back from an earlier copy of itself, and has lost what it had written since; each node writes its record again",
		"Check that the store holds the latest configuration and orders, and write again what is missing.")
	DeparturesRestored = define(1153, "departures_restored", zerolog.InfoLevel,
		"the records of instances that have left were compared with those of the restored store, and written where it holds older ones", "")
	DeparturesNotRestored = define(1154, "departures_not_restored", zerolog.WarnLevel,
		"the record of an instance that has left could not be written to the restored store",
		"Check the store; delete the object that the field instance names if its VM is gone.")
	StoreEraOdd = define(1155, "store_era_odd", zerolog.WarnLevel,
		"an answer of the store names no era, or a lower one than an earlier answer; one that names a lower one is not used",
		"Check what answers at the store's address. If the era was set back for good, restart the nodes.")
	PeerFormatOld = define(1320, "peer_format_old", zerolog.WarnLevel,
		"a configuration from a node of an earlier build was ignored, since it may lack the workspaces and their keys",
		"None while nodes are being upgraded; otherwise upgrade the named node.")
	PeerNotHeard = define(1148, "peer_not_heard", zerolog.WarnLevel, "another node did not respond", "")
)
