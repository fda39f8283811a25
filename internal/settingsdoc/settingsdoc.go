// Package settingsdoc generates the sections of docs/settings.md from the kong definitions of the programs' command
// lines.
package settingsdoc

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

// Section returns the section of docs/settings.md for the program called name. cli is a pointer to the struct that
// defines its command line.
func Section(name string, cli any) (string, error) {
	parser, err := kong.New(cli, kong.Name(name))
	if err != nil {
		return "", fmt.Errorf("parse the command line definition of %s: %w", name, err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n", name)
	writeNode(&b, parser.Model.Node, name)
	return b.String(), nil
}

// writeNode writes the settings table of a command, followed by those of its subcommands.
func writeNode(b *strings.Builder, n *kong.Node, command string) {
	rows := tableRows(n)
	if n.Parent != nil && (len(rows) > 0 || len(n.Children) == 0) {
		fmt.Fprintf(b, "\n### %s\n\n%s\n", command, n.Help)
	}
	if len(rows) > 0 {
		b.WriteString("\n| setting | variable | default | meaning |\n|---|---|---|---|\n" + strings.Join(rows, ""))
	}
	for _, child := range n.Children {
		writeNode(b, child, command+" "+child.Name)
	}
}

func tableRows(n *kong.Node) (rows []string) {
	for _, p := range n.Positional {
		rows = append(rows, tableRow(p, p.Summary()))
	}
	for _, f := range n.Flags {
		if f.Name != "help" {
			rows = append(rows, tableRow(f.Value, "--"+f.Name))
		}
	}
	return rows
}

func tableRow(v *kong.Value, name string) string {
	defaultText := v.Default
	switch {
	case v.Required && !strings.HasPrefix(name, "["):
		defaultText = "required"
	case defaultText != "":
		defaultText = "`" + defaultText + "`"
	}
	envs := ""
	if v.Tag != nil && len(v.Tag.Envs) > 0 {
		envs = "`" + strings.Join(v.Tag.Envs, "`, `") + "`"
	}
	help := v.Help
	if v.Enum != "" && !strings.Contains(help, v.Enum) {
		help += " One of " + strings.ReplaceAll(v.Enum, ",", ", ") + "."
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s |\n", name, envs, defaultText, help)
}

// Check returns an error with the expected section if the page at path does not contain it.
func Check(path, name string, cli any) error {
	want, err := Section(name, cli)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read the settings page: %w", err)
	}
	_, got, _ := strings.Cut("\n"+string(page), "\n## "+name+"\n")
	got, _, _ = strings.Cut(got, "\n## ")
	got = "## " + name + "\n" + strings.TrimRight(got, "\n") + "\n"
	if got != want {
		return fmt.Errorf("%s does not match the flags of %s; expected section:\n%s", path, name, want)
	}
	return nil
}
