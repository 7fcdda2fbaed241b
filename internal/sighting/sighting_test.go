package sighting

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestHub guards against passing on sightings of a stall that is over, against returning sightings to the instance that
// they came from, and against expired sightings. Times are milliseconds after the first sighting.
func TestHub(t *testing.T) {
	cases := map[string]struct {
		ended []int // of sends to one replica that went badly
		now   int
		want  []int
	}{
		"one send":                     {[]int{0}, 10, nil},
		"sends that end with a pause":  {[]int{0, 2, 5, 30}, 40, nil},
		"a replica that stays slow":    {[]int{0, 80, 170}, 200, []int{80, 170}},
		"apart for too long":           {[]int{0, 1500}, 1510, nil},
		"old by now":                   {[]int{0, 100, 200}, 1150, []int{200}},
		"an earlier one reported late": {[]int{100, 0, 200}, 210, []int{0, 200}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var hub Hub
			began := time.Now()
			at := func(millis int) time.Time { return began.Add(time.Duration(millis) * time.Millisecond) }
			for _, millis := range test.ended {
				hub.Add("i", []Sighting{{Replica: "r", Slowness: 5, ObservedAt: at(millis)}}, at(millis))
			}
			sightings, position := hub.Since(0, "j", at(test.now))
			var got []int
			for _, s := range sightings {
				got = append(got, int(s.ObservedAt.Sub(began).Milliseconds()))
			}
			is.Equal(got, test.want)
			own, _ := hub.Since(0, "i", at(test.now))
			is.Equal(len(own), 0)
			again, _ := hub.Since(position, "j", at(test.now))
			is.Equal(len(again), 0)
			foreign, _ := hub.Since(position+1000, "j", at(test.now)) // a position of the hub before a restart
			is.Equal(len(foreign), len(sightings))
		})
	}
}

// TestHubPassesOnZoneSightings guards against a sighting of a zone that has to be confirmed by another one: each
// instance makes it only for a short time.
func TestHubPassesOnZoneSightings(t *testing.T) {
	is := is.New(t)
	var hub Hub
	now := time.Now()
	suspicion := Sighting{Zone: "z", ObservedAt: now}
	is.True(hub.Add("i", []Sighting{suspicion}, now))
	sightings, _ := hub.Since(0, "j", now)
	is.Equal(decode(encode(sightings, now), now), []Sighting{{Zone: "z", ObservedAt: now, From: "i"}})
}

// TestHubIsBounded guards against unbounded memory use, by a zone in trouble or by one instance that reports without
// end.
func TestHubIsBounded(t *testing.T) {
	is := is.New(t)
	var hub Hub
	now := time.Now()
	for round := range 20 {
		for i := range maxSightings {
			hub.Add("i", []Sighting{{Replica: fleet.ServerID(fmt.Sprint(i)), ObservedAt: now.Add(time.Duration(round) * 10 * minConfirmInterval)}}, now)
		}
		is.True(len(hub.sightings) <= maxSightings)
		is.True(len(hub.lastBadSend) <= maxSightings+1)
	}
}

// TestDecodeSightings guards against invalid values from a faulty peer: ages in the future or too large, and negative
// slowness.
func TestDecodeSightings(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	got := decode([]sightingMessage{
		{Replica: "future", AgeMillis: -5},
		{Replica: "old", AgeMillis: 1 << 60},
		{Replica: "negative", Slowness: -1},
		{Replica: "good", StartedAt: 3, Slowness: 4, AgeMillis: 20},
	}, now)
	is.Equal(got, []Sighting{{Replica: "good", StartedAt: 3, Slowness: 4, ObservedAt: now.Add(-20 * time.Millisecond)}})
}
