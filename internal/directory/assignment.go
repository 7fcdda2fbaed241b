package directory

import (
	"errors"
	"fmt"

	"github.com/medlarlatch/medlarlatch/internal/fleet"
)

// Assignment names the instances that allocate the limits of customers. The store holds one, under a key that no lease
// removes, and each change is a conditional write, so that two assignments with the same epoch are equal.
type Assignment struct {
	Epoch uint64 `json:"epoch"`
	// Members are the instances among which the customers are distributed. Previous are those of the epoch before; it is
	// empty in the first epoch.
	Members  []AssignmentMember `json:"members"`
	Previous []AssignmentMember `json:"previous,omitempty"`
}

// AssignmentMember is one of the instances of an Assignment. It need not run.
type AssignmentMember struct {
	ID   fleet.InstanceID `json:"id"`
	Zone fleet.ZoneID     `json:"zone"`
}

// maxMembers bounds the members of an assignment; one of another writer could otherwise hold any number.
const maxMembers = 4096

// Check returns an error if the assignment cannot be used.
func (a *Assignment) Check() error {
	if a.Epoch == 0 || len(a.Members) == 0 {
		return errors.New("assignment has no epoch or no members")
	}
	if len(a.Members) > maxMembers || len(a.Previous) > maxMembers {
		return fmt.Errorf("assignment has more than %d members", maxMembers)
	}
	return nil
}
