package kernel

// Builder assembles the components of a process. It keeps the first error in Err, so that callers need not check every
// step.
type Builder struct {
	Kernel *Kernel
	Err    error
}

// NewBuilder returns a builder with an empty kernel.
func NewBuilder() *Builder { return &Builder{Kernel: New()} }

// RecordError records err unless an earlier error is recorded already. A nil err has no effect.
func (b *Builder) RecordError(err error) {
	if b.Err == nil {
		b.Err = err
	}
}

// Provide adds a component that has no lifecycle.
func (b *Builder) Provide(name string, component any) {
	b.RecordError(b.Kernel.Provide(name, component))
}

// Register adds a service.
func (b *Builder) Register(s Service) { b.RecordError(b.Kernel.Register(s)) }

// Component returns the component with the given name. If there is none of type T, it records the error and returns the
// zero value.
func Component[T any](b *Builder, name string) T {
	component, err := Find[T](b.Kernel, name)
	b.RecordError(err)
	return component
}
