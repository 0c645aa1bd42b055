package claimer_test

import (
	"context"
	"fmt"
	"time"

	"almondstep"
	"almondstep/claimer"
)

func ExampleClaimer_Claim() {
	c := &claimer.Claimer{Platform: &fakePlatform{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)

	key := fmt.Sprintf("%d-4f1c9a2b", time.Now().UnixMilli())
	first := c.Claim(ctx, &almondstep.ClaimKey{ID: 1, Key: key, Remaining: 10 * time.Second})
	resend := c.Claim(ctx, &almondstep.ClaimKey{ID: 2, Key: key, Remaining: 10 * time.Second})
	fmt.Println(first == almondstep.ClaimGranted, resend == almondstep.ClaimTaken)
	// Output: true true
}

func ExampleParseKey() {
	k, err := claimer.ParseKey("1733288400000-4f1c9a2b")
	fmt.Println(k, err)
	fmt.Println(k.Check(time.UnixMilli(1733288400000).Add(time.Minute)))
	_, err = claimer.ParseKey("once")
	fmt.Println(err)
	// Output:
	// 1733288400000-4f1c9a2b <nil>
	// <nil>
	// idempotency key must be <unixMillis>-<random>: invalid input
}
