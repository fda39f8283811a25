package kernel

// Builder puts the parts of a process together. The first error is kept, so that the parts need no checks of their own.
type Builder struct {
	Kernel *Kernel
	Err    error
}

// NewBuilder returns a builder with an empty kernel.
func NewBuilder() *Builder { return &Builder{Kernel: New()} }

// Fail keeps the first error.
func (b *Builder) Fail(err error) {
	if b.Err == nil {
		b.Err = err
	}
}

// Provide adds a part without a lifecycle.
func (b *Builder) Provide(name string, part any) { b.Fail(b.Kernel.Provide(name, part)) }

// Register adds a service.
func (b *Builder) Register(s Service) { b.Fail(b.Kernel.Register(s)) }

// Part returns a part by name, or the zero value after an error.
func Part[T any](b *Builder, name string) T {
	part, err := Find[T](b.Kernel, name)
	b.Fail(err)
	return part
}
