package completer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/refuser"
)

var _ = Describe("chat completions that share a message which crashes engines", func() {
	It("run no longer after a few crashes, and their siblings do", func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			wor := newWorld(0)
			wor.script = make([]fault, 1000)
			system, bad := quarantiner.Part([]byte("system")), quarantiner.Part([]byte("bad"))
			complete := func(name string, parts ...string) error {
				snk := &callerSink{name: name, leaveAt: -1}
				cal := Call{
					RequestID: name, Workspace: "halls", Model: "composer", MaxTokens: 100, Content: []byte(name), Body: []byte(name),
					PromptParts: parts, Deadline: time.Now().Add(time.Minute),
				}
				_, err := wor.com.Complete(context.Background(), cal, snk)
				time.Sleep(time.Second)
				return err
			}
			for num := range 5 {
				Expect(complete(fmt.Sprint("poison", num), system, bad)).NotTo(Succeed())
				Expect(complete(fmt.Sprint("sound", num), system)).To(Succeed())
			}
			Expect(wor.crashes()).To(BeNumerically("<=", 5))
			before := wor.crashes()
			for num := range 4 {
				err := complete(fmt.Sprint("poisonous", num), system, bad)
				Expect(refuser.FromError(err).Type).To(Equal(refuser.TypeNotRun))
			}
			Expect(wor.crashes()).To(Equal(before))
		})
	})
})
