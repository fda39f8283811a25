// Package settingsdoc renders the settings of a binary from its kong definitions, for docs/settings.md.
package settingsdoc

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

// Section returns the section of docs/settings.md for a binary whose command line is cli, a pointer to a struct.
func Section(name string, cli any) (string, error) {
	parser, err := kong.New(cli, kong.Name(name))
	if err != nil {
		return "", fmt.Errorf("settings of %s: %w", name, err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n", name)
	writeNode(&b, parser.Model.Node, name)
	return b.String(), nil
}

// writeNode writes the table of a command and then those of its subcommands.
func writeNode(b *strings.Builder, n *kong.Node, path string) {
	rows := rowsOf(n)
	if n.Parent != nil && (len(rows) > 0 || len(n.Children) == 0) {
		fmt.Fprintf(b, "\n### %s\n\n%s\n", path, n.Help)
	}
	if len(rows) > 0 {
		b.WriteString("\n| setting | variable | default | meaning |\n|---|---|---|---|\n" + strings.Join(rows, ""))
	}
	for _, child := range n.Children {
		writeNode(b, child, path+" "+child.Name)
	}
}

func rowsOf(n *kong.Node) (rows []string) {
	for _, p := range n.Positional {
		rows = append(rows, row(p, p.Summary()))
	}
	for _, f := range n.Flags {
		if f.Name != "help" {
			rows = append(rows, row(f.Value, "--"+f.Name))
		}
	}
	return rows
}

func row(v *kong.Value, name string) string {
	standard := v.Default
	switch {
	case v.Required && !strings.HasPrefix(name, "["):
		standard = "required"
	case standard != "":
		standard = "`" + standard + "`"
	}
	envs := ""
	if v.Tag != nil && len(v.Tag.Envs) > 0 {
		envs = "`" + strings.Join(v.Tag.Envs, "`, `") + "`"
	}
	help := v.Help
	if v.Enum != "" && !strings.Contains(help, v.Enum) {
		help += " One of " + strings.ReplaceAll(v.Enum, ",", ", ") + "."
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |\n", name, envs, standard, help)
}

// Check returns an error that shows the wanted section if the page at path does not hold it.
func Check(path, name string, cli any) error {
	want, err := Section(name, cli)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read the page of settings: %w", err)
	}
	_, got, _ := strings.Cut("\n"+string(page), "\n## "+name+"\n")
	got, _, _ = strings.Cut(got, "\n## ")
	got = "## " + name + "\n" + strings.TrimRight(got, "\n") + "\n"
	if got != want {
		return fmt.Errorf("%s differs from the flags of %s; it should hold:\n%s", path, name, want)
	}
	return nil
}
