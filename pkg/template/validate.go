package template

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"alderdyke/pkg/clock"
	"alderdyke/pkg/place"
)

// Limits of a template's values.
const (
	MaxClasses   = 64
	MaxKeyHashes = 64
	MaxPaths     = 64
	MaxSpan      = 24 * clock.Hour // of targets, deadlines and waits
	MaxTokens    = 1 << 20         // output tokens of one request

	// shareTolerance allows for rounding errors in shares that should add up to 1.
	shareTolerance = 1e-9

	// nameMend is the suggested fix of an invalid name.
	nameMend = "write 1 to 63 lower-case letters, digits, dots, dashes or underscores, with a letter or digit first"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,254}$`)
)

// serviceUsage accumulates the classes of one service, to find conflicts among them.
type serviceUsage struct {
	share float64
	plain bool           // the first class of the service has paths
	paths map[string]int // path to the class that claims it
}

// Validate checks the template. The error is nil or a [place.Errors] with all
// problems, by their keys.
func (tp Template) Validate() error { return tp.problems().Err() }

func (tp Template) problems() place.Errors {
	var es place.Errors
	if !namePattern.MatchString(tp.Customer) {
		es.Add("Customer", quoteName(tp.Customer), nameMend)
	}
	tp.checkKeyHashes(&es)
	if !inRange(tp.PrefillWeight, 0, 1) {
		es.Add("PrefillWeight", formatNumber(tp.PrefillWeight), "write a number from 0 to 1")
	}
	if len(tp.Classes) == 0 || len(tp.Classes) > MaxClasses {
		es.Add("Classes", fmt.Sprintf("%d classes", len(tp.Classes)), fmt.Sprintf("write 1 to %d classes", MaxClasses))
		return es
	}
	seen := map[string]bool{}
	services := map[string]*serviceUsage{}
	for ix, cl := range tp.Classes {
		at := fmt.Sprintf("Classes[%d].", ix)
		if seen[cl.Name] {
			es.Add(at+"Name", quoteName(cl.Name), "choose another name; a class already has it")
		}
		seen[cl.Name] = true
		cl.check(at, &es)
		if services[cl.Service] == nil {
			services[cl.Service] = &serviceUsage{plain: len(cl.Paths) > 0, paths: map[string]int{}}
		}
		services[cl.Service].add(at, ix, cl, &es)
	}
	return es
}

// checkKeyHashes checks the hashes of API keys. A reported problem never contains the
// value, because it may be the API key itself instead of its hash.
func (tp Template) checkKeyHashes(es *place.Errors) {
	if len(tp.KeyHashes) == 0 || len(tp.KeyHashes) > MaxKeyHashes {
		es.Add("KeyHashes", fmt.Sprintf("%d hashes", len(tp.KeyHashes)),
			fmt.Sprintf("write 1 to %d SHA-256 hashes of the customer's API keys", MaxKeyHashes))
	}
	for ix, hash := range tp.KeyHashes {
		key := fmt.Sprintf("KeyHashes[%d]", ix)
		if !hashPattern.MatchString(hash) {
			es.Add(key, "", "write the SHA-256 of the API key as 64 lower-case hexadecimal digits")
		}
		if slices.Contains(tp.KeyHashes[:ix], hash) {
			es.Add(key, "", "remove this hash; the list already contains it")
		}
	}
}

// check validates one class by itself.
func (cl Class) check(at string, es *place.Errors) {
	if !namePattern.MatchString(cl.Name) {
		es.Add(at+"Name", quoteName(cl.Name), nameMend)
	}
	if !namePattern.MatchString(cl.Service) {
		es.Add(at+"Service", quoteName(cl.Service), nameMend)
	}
	if cl.Urgency != Patient && cl.Urgency != Quick {
		es.Add(at+"Urgency", quoteName(string(cl.Urgency)), `write "Patient" or "Quick"`)
	}
	if !inRange(cl.Share, math.SmallestNonzeroFloat64, 1) {
		es.Add(at+"Share", formatNumber(cl.Share), "write a number above 0 and up to 1")
	}
	cl.checkTimes(at, es)
	cl.checkPaths(at, es)
	cl.checkTokens(at, es)
}

func (cl Class) checkTimes(at string, es *place.Errors) {
	checkPositive(at+"TTFT", cl.TTFT, es)
	checkPositive(at+"Deadline", cl.Deadline, es)
	if cl.TTFT > cl.Deadline && cl.Deadline > 0 {
		es.Add(at+"TTFT", cl.TTFT.String(), fmt.Sprintf("write at most the Deadline of %v", cl.Deadline))
	}
	if cl.StreamWait < 0 {
		es.Add(at+"StreamWait", cl.StreamWait.String(), "write zero or a positive span")
	}
	if cl.StreamWait > cl.Deadline && cl.Deadline > 0 {
		es.Add(at+"StreamWait", cl.StreamWait.String(), fmt.Sprintf("write at most the Deadline of %v", cl.Deadline))
	}
}

func (cl Class) checkPaths(at string, es *place.Errors) {
	if len(cl.Paths) > MaxPaths {
		es.Add(at+"Paths", fmt.Sprintf("%d paths", len(cl.Paths)), fmt.Sprintf("write at most %d paths", MaxPaths))
	}
	for ix, path := range cl.Paths {
		if !pathPattern.MatchString(path) || strings.Contains(path, "//") || strings.Contains(path, "/.") {
			es.Add(fmt.Sprintf("%sPaths[%d]", at, ix), quoteName(path),
				"write a path prefix such as /records, without a query or dot segments")
		}
	}
}

// checkTokens checks the settings that only classes of a model service have.
func (cl Class) checkTokens(at string, es *place.Errors) {
	if len(cl.Paths) > 0 {
		if cl.TPOT != 0 {
			es.Add(at+"TPOT", cl.TPOT.String(), "remove it; a plain service generates no tokens")
		}
		if cl.MaxTokens != 0 {
			es.Add(at+"MaxTokens", fmt.Sprint(cl.MaxTokens), "remove it; a plain service generates no tokens")
		}
		return
	}
	checkPositive(at+"TPOT", cl.TPOT, es)
	if cl.MaxTokens < 1 || cl.MaxTokens > MaxTokens {
		es.Add(at+"MaxTokens", fmt.Sprint(cl.MaxTokens), fmt.Sprintf("write a whole number from 1 to %d", MaxTokens))
	}
}

// add adds a class to the usage of its service. It reports a mix of classes with and
// without paths, a path that two classes have, and shares that add up to more than 1.
func (us *serviceUsage) add(at string, ix int, cl Class, es *place.Errors) {
	if us.plain != (len(cl.Paths) > 0) {
		es.Add(at+"Paths", "", fmt.Sprintf("give all classes of service %s paths, or none", quoteName(cl.Service)))
	}
	for px, path := range cl.Paths {
		if other, taken := us.paths[path]; taken {
			es.Add(fmt.Sprintf("%sPaths[%d]", at, px), quoteName(path), fmt.Sprintf("choose another path; Classes[%d] already has it", other))
		}
		us.paths[path] = ix
	}
	before := us.share
	us.share += cl.Share
	if cl.Share <= 1 && before <= 1+shareTolerance && us.share > 1+shareTolerance {
		es.Add(at+"Share", formatNumber(cl.Share),
			fmt.Sprintf("lower the shares of service %s, which add up to more than 1", quoteName(cl.Service)))
	}
}

// checkPositive rejects spans that are not positive or exceed MaxSpan.
func checkPositive(key string, span clock.Millis, es *place.Errors) {
	if span <= 0 || span > MaxSpan {
		es.Add(key, span.String(), fmt.Sprintf("write a span above zero and up to %v, such as 400ms", MaxSpan))
	}
}

// inRange reports whether low <= value <= high; it is false for NaN.
func inRange(value, low, high float64) bool { return value >= low && value <= high }

func formatNumber(value float64) string { return fmt.Sprintf("%g", value) }

// quoteName quotes a name and truncates it to 40 characters.
func quoteName(name string) string { return fmt.Sprintf("%.40q", name) }
