package steering

import "strings"

// maxClassBytes bounds the length of a class name taken from a path.
const maxClassBytes = 48

// ClassOf returns the latency class of a path: the longest matching prefix in
// longPaths, or else the first path segment. The class has no leading slash.
func ClassOf(path string, longPaths []string) string {
	path, _, _ = strings.Cut(path, "?")
	path = strings.TrimLeft(path, "/")
	if long := longPrefix(path, longPaths); long != "" {
		return long
	}
	first, _, _ := strings.Cut(path, "/")
	if len(first) > maxClassBytes {
		first = first[:maxClassBytes]
	}
	return first
}

// longPrefix returns the longest entry of longPaths that is a prefix of path
// and ends at a segment boundary.
func longPrefix(path string, longPaths []string) string {
	best := ""
	for _, p := range longPaths {
		p = strings.Trim(p, "/")
		rest, ok := strings.CutPrefix(path, p)
		if ok && (rest == "" || rest[0] == '/') && len(p) > len(best) {
			best = p
		}
	}
	return best
}
