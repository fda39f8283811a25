// Package standin groups the stand-ins for the systems around monsoonlatch.
package standin
