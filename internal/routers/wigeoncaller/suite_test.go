package wigeoncaller_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWigeoncaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeoncaller")
}
