package responsehead

// checkText checks a value or a reason, which hold no control bytes but tabs.
func checkText(text []byte) (reason string) {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return "holds a control byte"
		}
	}
	return ""
}
