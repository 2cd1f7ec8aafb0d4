package smoketester

import (
	"fmt"

	"github.com/juju/errors"
)

// workload holds the models, the service and the requests that callers of one deployment use.
type workload struct {
	deployment      string
	composeModel    string
	summarizeModel  string
	service         string
	composePrompt   string
	summarizePrompt string
	servicePath     string
	serviceBody     string
}

var workloads = []workload{
	{
		deployment:      "alokrekha",
		composeModel:    "scene-composer",
		summarizeModel:  "log-summarizer",
		service:         "venue-api",
		composePrompt:   "Compose a light scene for %s: slow amber at the gate, white on the stage, dim aisles.",
		summarizePrompt: "Summarise last night's log of %s: 21:40 scene changed, 22:15 dimmed for speeches, 23:50 all off.",
		servicePath:     "/venues/%s/lights/switch",
		serviceBody:     `{"light": "stage", "state": "on", "venue": %q}`,
	},
	{
		deployment:      "rail",
		composeModel:    "itinerary-writer",
		summarizeModel:  "notes-summarizer",
		service:         "booking-desk",
		composePrompt:   "Draft an itinerary for %s: one day out by heritage train, lunch at a halt, back before dark.",
		summarizePrompt: "Summarise the visit notes of %s: depot open at 9, two locomotives under repair, workshop tour at 11.",
		servicePath:     "/outings/%s/reservations",
		serviceBody:     `{"seats": 1, "outing": %q}`,
	},
}

func workloadOf(deployment string) (workload, error) {
	for _, wrk := range workloads {
		if wrk.deployment == deployment {
			return wrk, nil
		}
	}
	return workload{}, errors.Annotatef(ErrUnknownDeployment, "deployment %q", deployment)
}

func (wrk workload) composeFor(name string) string { return fmt.Sprintf(wrk.composePrompt, name) }

func (wrk workload) summaryFor(name string) string { return fmt.Sprintf(wrk.summarizePrompt, name) }
