package main

import (
	"fmt"
	"os"

	"onyxroad.dev/onyxroad/internal/testbed/scale/capacity"
)

type capacityCmd struct {
	Check string `type:"existingfile" xor:"page" help:"Exit with 1 if a table in this page differs."`
	Write string `type:"existingfile" xor:"page" help:"Replace the tables in this page; its text is kept."`
	From  string `default:"capacity" help:"Folder with the target and the slopes' results."`
}

// Run prints the tables, checks those in a page, or replaces them.
func (c *capacityCmd) Run() error {
	m, err := capacity.Read(c.From)
	if err != nil {
		return err
	}
	switch {
	case c.Check != "":
		page, err := os.ReadFile(c.Check)
		if err != nil {
			return err
		}
		if err := m.Check(c.Check, page); err != nil {
			fmt.Println(err)
			return errBroken
		}
	case c.Write != "":
		page, err := os.ReadFile(c.Write)
		if err != nil {
			return err
		}
		if page, err = m.Fill(c.Write, page); err != nil {
			return err
		}
		return os.WriteFile(c.Write, page, 0o644)
	default:
		for _, t := range m.Tables() {
			fmt.Printf("## %s\n\n%s\n", t.Name, t.Text)
		}
	}
	return nil
}
