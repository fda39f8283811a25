package config

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// escapeBytes is the length of an escape such as \ud83d.
const escapeBytes = 6

// replaceJSONEscapes replaces the escapes of a JSON text that the YAML library does not know by the characters that they
// stand for: the escaped slash, and pairs of surrogates, which JSON writers that keep to ASCII produce. Other text stays
// as it is, on the same line.
func replaceJSONEscapes(data []byte) []byte {
	if !bytes.ContainsRune(data, '\\') || !json.Valid(data) {
		return data
	}
	out := make([]byte, 0, len(data))
	for i := 0; i < len(data); {
		if data[i] != '\\' {
			out = append(out, data[i])
			i++
			continue
		}
		if r := utf16.DecodeRune(escaped(data[i:]), escaped(data[min(i+escapeBytes, len(data)):])); r != utf8.RuneError {
			out = utf8.AppendRune(out, r)
			i += 2 * escapeBytes
			continue
		}
		// In valid JSON a character follows each backslash.
		if data[i+1] != '/' {
			out = append(out, '\\')
		}
		out = append(out, data[i+1])
		i += 2
	}
	return out
}

// escaped returns the code unit of an escape at the start of data, or RuneError.
func escaped(data []byte) rune {
	if len(data) < escapeBytes || data[0] != '\\' || data[1] != 'u' {
		return utf8.RuneError
	}
	n, err := strconv.ParseUint(string(data[2:escapeBytes]), 16, 16)
	if err != nil {
		return utf8.RuneError
	}
	return rune(n)
}
