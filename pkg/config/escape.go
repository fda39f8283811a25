package config

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// unicodeEscapeBytes is the length of a Unicode escape such as \ud83d.
const unicodeEscapeBytes = 6

// replaceJSONEscapes decodes the JSON escapes that the YAML library does not support: the escaped slash, and surrogate
// pairs, which JSON encoders with ASCII-only output produce. All other text, including line breaks, and input that is
// not valid JSON are left unchanged.
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
		if r := utf16.DecodeRune(decodeUnicodeEscape(data[i:]), decodeUnicodeEscape(data[min(i+unicodeEscapeBytes, len(data)):])); r != utf8.RuneError {
			out = utf8.AppendRune(out, r)
			i += 2 * unicodeEscapeBytes
			continue
		}
		// In valid JSON, every backslash is followed by another character.
		if data[i+1] != '/' {
			out = append(out, '\\')
		}
		out = append(out, data[i+1])
		i += 2
	}
	return out
}

// decodeUnicodeEscape returns the UTF-16 code unit of the Unicode escape at the start of data, or RuneError if there is
// none.
func decodeUnicodeEscape(data []byte) rune {
	if len(data) < unicodeEscapeBytes || data[0] != '\\' || data[1] != 'u' {
		return utf8.RuneError
	}
	n, err := strconv.ParseUint(string(data[2:unicodeEscapeBytes]), 16, 16)
	if err != nil {
		return utf8.RuneError
	}
	return rune(n)
}
