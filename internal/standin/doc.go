// Package standin groups the stand-ins (test doubles) for the systems that monsoonlatch works with: the platform, the
// metadata store and the backend servers.
package standin
