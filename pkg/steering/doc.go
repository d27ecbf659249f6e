// Package steering carries one caller's request through an entry VM: it
// reserves a slot at the owner of a target, sends the request, hedges or
// retries it where that is safe, and reports a typed outcome. Each mechanism
// has a file of its own.
package steering
