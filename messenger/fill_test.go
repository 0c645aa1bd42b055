package messenger_test

import (
	"reflect"
	"time"

	"almondstep"
)

// fill sets every field to a value other than zero, so that a field that the codec
// omits shows as a difference. Numbers count up; durations are whole milliseconds.
func fill(v reflect.Value, next *int64) {
	*next++
	switch v.Kind() {
	case reflect.Struct:
		if shard, ok := v.Addr().Interface().(*almondstep.Shard); ok {
			*shard = almondstep.NewShard("service", uint32(*next), 100)
			return
		}
		for i := range v.NumField() {
			fill(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.String:
		v.SetString("s" + time.Duration(*next).String())
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int32:
		v.SetInt(*next)
	case reflect.Int64:
		v.SetInt(*next * int64(time.Millisecond))
	case reflect.Float64:
		v.SetFloat(float64(*next))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next))
	default:
		panic("fill: " + v.Type().String())
	}
}

func filled[T any]() *T {
	var t T
	var next int64
	fill(reflect.ValueOf(&t).Elem(), &next)
	return &t
}
