// Package plot draws small plots as inline SVG for HTML pages: lines over a
// common axis, and bars. It knows nothing of what is plotted.
package plot
