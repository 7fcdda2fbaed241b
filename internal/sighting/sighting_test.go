package sighting

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// TestBoard guards against news of a pause that is over, against news that go back to the instance that they came from, and
// against old news. Times are milliseconds after the first sighting.
func TestBoard(t *testing.T) {
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
			var board Board
			began := time.Now()
			at := func(millis int) time.Time { return began.Add(time.Duration(millis) * time.Millisecond) }
			for _, millis := range test.ended {
				board.Post("i", []Sighting{{Replica: "r", Slowness: 5, At: at(millis)}}, at(millis))
			}
			news, position := board.Since(0, "j", at(test.now))
			var got []int
			for _, s := range news {
				got = append(got, int(s.At.Sub(began).Milliseconds()))
			}
			is.Equal(got, test.want)
			own, _ := board.Since(0, "i", at(test.now))
			is.Equal(len(own), 0)
			again, _ := board.Since(position, "j", at(test.now))
			is.Equal(len(again), 0)
			foreign, _ := board.Since(position+1000, "j", at(test.now)) // a position of the board before a restart
			is.Equal(len(foreign), len(news))
		})
	}
}

// TestBoardPassesZonesOn guards against a doubt about a zone that waits for another one: each instance has it for a short time.
func TestBoardPassesZonesOn(t *testing.T) {
	is := is.New(t)
	var board Board
	now := time.Now()
	doubt := Sighting{Zone: "z", At: now}
	is.True(board.Post("i", []Sighting{doubt}, now))
	news, _ := board.Since(0, "j", now)
	is.Equal(decode(encode(news, now), now), []Sighting{{Zone: "z", At: now, From: "i"}})
}

// TestBoardIsBounded guards against a zone in trouble, or one instance that reports without end, that fills the memory.
func TestBoardIsBounded(t *testing.T) {
	is := is.New(t)
	var board Board
	now := time.Now()
	for round := range 20 {
		for i := range mostSightings {
			board.Post("i", []Sighting{{Replica: fleet.ServerID(fmt.Sprint(i)), At: now.Add(time.Duration(round) * 10 * confirmAfter)}}, now)
		}
		is.True(len(board.kept) <= mostSightings)
		is.True(len(board.last) <= mostSightings+1)
	}
}

// TestDecodeSightings guards against what a faulty peer may say: ages from the future or long ago, and numbers that are none.
func TestDecodeSightings(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	got := decode([]sightingMessage{
		{Replica: "future", AgeMillis: -5},
		{Replica: "old", AgeMillis: 1 << 60},
		{Replica: "negative", Slowness: -1},
		{Replica: "good", Born: 3, Slowness: 4, AgeMillis: 20},
	}, now)
	is.Equal(got, []Sighting{{Replica: "good", Born: 3, Slowness: 4, At: now.Add(-20 * time.Millisecond)}})
}
