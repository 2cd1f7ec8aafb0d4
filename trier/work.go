package trier

import (
	"fmt"

	"github.com/juju/errors"
)

// work is what callers of one deployment ask for.
type work struct {
	deployment string
	author     string
	summarizer string
	service    string
	compose    string
	summarize  string
	path       string
	body       string
}

var works = []work{
	{
		deployment: "alokrekha",
		author:     "scene-composer",
		summarizer: "log-summarizer",
		service:    "venue-api",
		compose:    "Compose a light scene for %s: slow amber at the gate, white on the stage, dim aisles.",
		summarize:  "Summarise last night's log of %s: 21:40 scene changed, 22:15 dimmed for speeches, 23:50 all off.",
		path:       "/venues/%s/lights/switch",
		body:       `{"light": "stage", "state": "on", "venue": %q}`,
	},
	{
		deployment: "rail",
		author:     "itinerary-writer",
		summarizer: "notes-summarizer",
		service:    "booking-desk",
		compose:    "Draft an itinerary for %s: one day out by heritage train, lunch at a halt, back before dark.",
		summarize:  "Summarise the visit notes of %s: depot open at 9, two locomotives under repair, workshop tour at 11.",
		path:       "/outings/%s/reservations",
		body:       `{"seats": 1, "outing": %q}`,
	},
}

func workOf(deployment string) (work, error) {
	for _, wrk := range works {
		if wrk.deployment == deployment {
			return wrk, nil
		}
	}
	return work{}, errors.Annotatef(ErrUnknownDeployment, "deployment %q", deployment)
}

func (wrk work) composeFor(workspace string) string { return fmt.Sprintf(wrk.compose, workspace) }

func (wrk work) summaryFor(workspace string) string { return fmt.Sprintf(wrk.summarize, workspace) }
