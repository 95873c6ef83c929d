// Package compressor compresses the contents that voters send to every entry VM, such as configurations.
package compressor
