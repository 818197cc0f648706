// Package wigeonwindow checks recorded times against limits on sliding windows.
package wigeonwindow
