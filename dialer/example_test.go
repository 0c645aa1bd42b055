package dialer_test

import (
	"context"
	"fmt"
	"time"

	"almondstep"
	"almondstep/dialer"
	"almondstep/standin/upstream"
)

func ExampleClient_Do() {
	s := &upstream.Server{
		Address:  "127.0.0.1:0",
		Data:     &upstream.Dataset{Service: "intake-desk", Seed: 1, Records: 1000},
		Holdings: []almondstep.Holding{{Version: 7, Of: 20, Shards: []uint32{3, 13}}},
		Slots:    2,
	}
	if err := s.Start(); err != nil {
		fmt.Println(err)
		return
	}
	defer s.Close()
	c := &dialer.Client{}
	defer c.Close()
	for _, shard := range []uint32{3, 4} {
		ended := c.Do(context.Background(), &almondstep.StartAttempt{
			Addr:        almondstep.Address(s.Address),
			Shard:       almondstep.NewShard("intake-desk", shard, 20),
			Version:     7,
			Text:        "walnut",
			Limit:       1,
			Idempotent:  true,
			Timeout:     5 * time.Second,
			Connections: 12,
		})
		fmt.Println(ended.Result, ended.Total, ended.Records)
	}
	// Output:
	// done 15 [{intake-desk-0000009 open walnut v7}]
	// wrongVersion 0 []
}
