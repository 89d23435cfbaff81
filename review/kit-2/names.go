package main

import (
	"encoding/json"
	"os"
)

// names are the platform's names of the wire, which a case reads from a file in its folder.
type names struct {
	Attempt     string `json:"attempt"`
	Deadline    string `json:"deadline"`
	Expect      string `json:"expect"`
	Instance    string `json:"instance"`
	Tenant      string `json:"tenant"`
	Seal        string `json:"seal"`
	NotExecuted string `json:"not_executed"`
	Wait        string `json:"wait"`
	Key         string `json:"key"`
	LastEvent   string `json:"last_event"`
	Model       string `json:"model"`
	Tokens      string `json:"tokens"`
	Prefix      string `json:"prefix"`
	KVKey       string `json:"kv_key"`
	KVRange     string `json:"kv_range"`
	KVWatch     string `json:"kv_watch"`
	KVTxn       string `json:"kv_txn"`
	KVLease     string `json:"kv_lease"`
	KVKeep      string `json:"kv_keep"`
	KVLeaseEnd  string `json:"kv_lease_end"`
	Lots        string `json:"lots"`
	Items       string `json:"items"`
	Readiness   string `json:"readiness"`
	Config      string `json:"config"`
	Servers     string `json:"servers"`
	Completed   string `json:"completed"`
	TypeField   string `json:"type_field"`
}

// readNames reads the names from a file.
func readNames(path string) (read names, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return read, err
	}
	return read, json.Unmarshal(data, &read)
}
