package customer

// Class groups requests by prompt length. Deadlines, priorities on engines and metrics of the time to first token (TTFT)
// are kept per class.
type Class uint8

// Length classes.
const (
	Short    Class = iota // under 2,000 tokens
	Medium                // under 16,000 tokens
	Long                  // up to 100,000 tokens
	VeryLong              // above 100,000 tokens
	numClasses
)

// Upper bounds of the classes in tokens; VeryLong has none.
const (
	shortBelow  = 2_000
	mediumBelow = 16_000
	longUpTo    = 100_000
)

var classNames = [numClasses]string{"short", "medium", "long", "veryLong"}

// ClassOf returns the class of a prompt of n tokens.
func ClassOf(n int) Class {
	switch {
	case n < shortBelow:
		return Short
	case n < mediumBelow:
		return Medium
	case n <= longUpTo:
		return Long
	default:
		return VeryLong
	}
}

// Classes returns all classes from the shortest to the longest.
func Classes() []Class { return []Class{Short, Medium, Long, VeryLong} }

// String returns the name of the class in contracts and metrics.
func (c Class) String() string {
	if c < numClasses {
		return classNames[c]
	}
	return "unknown"
}
