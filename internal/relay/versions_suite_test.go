package relay

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The record of a stream's software version", func() {
	var recorded []string
	var record *versionRecord

	BeforeEach(func() {
		recorded = nil
		record = &versionRecord{record: func(version string, order uint64) <-chan struct{} {
			recorded = append(recorded, fmt.Sprint(version, " ", order))
			return nil
		}}
	})

	It("is open until the first event, which may come from any version", func() {
		Expect(record.sent("v1")).To(BeTrue())
		Expect(record.sent("v2")).To(BeTrue())
		Expect(record.bound()).To(BeNil())
		record.settle("v2")
		Expect(record.bound()).To(HaveValue(Equal("v2")))
		Expect(recorded).To(Equal([]string{"v1 1", "v2 2"}))
	})

	// Guards against a take-up at the version of a search that lost against the silent
	// target which went on.
	It("is set right if the version that was sent last does not bring the first event", func() {
		record.sent("v1")
		record.sent("v2")
		record.settle("v1")
		Expect(record.bound()).To(HaveValue(Equal("v1")))
		Expect(recorded).To(Equal([]string{"v1 1", "v2 2", "v1 3"}))
	})

	It("refuses other versions once it is settled, also before a send", func() {
		record.settle("v1")
		Expect(record.sent("v2")).To(BeFalse())
		Expect(record.sent("v1")).To(BeTrue())
		record.settle("v2")
		Expect(record.bound()).To(HaveValue(Equal("v1")))
		Expect(recorded).To(Equal([]string{"v1 1"}))
	})
})
