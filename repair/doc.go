// Package repair decides how streams under way continue after servers of their path were lost: in
// which order they are repaired, whether the lost stages are moved to other servers or the stream
// is restarted on a fresh path, and how often a stream that stays where it is appears in the log.
//
// The decisions are pure: nothing here reads a clock, logs or does I/O. Package forward feeds them
// with the streams of a box and carries them out.
package repair
