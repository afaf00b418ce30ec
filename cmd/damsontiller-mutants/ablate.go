package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"

	"github.com/BurntSushi/toml"
)

// ablate writes, for each mechanism of decision on a list, a copy of the tree in which it
// is switched off: a checkout to play days with beside the tree itself.
func ablate(args []string) error {
	flags := flag.NewFlagSet("damsontiller-mutants ablate", flag.ExitOnError)
	root := flags.String("root", ".", "the tree, which is only read")
	list := flags.String("list", "docs/ablations.toml", "the list of mechanisms")
	only := flags.String("only", "", "copies for the mechanisms whose names match this expression")
	out := flags.String("out", "", "the folder for the copies, each named as its mechanism")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *out == "" {
		return fmt.Errorf("-out names no folder")
	}
	name, err := regexp.Compile(*only)
	if err != nil {
		return err
	}
	ablations, err := loadAblations(*list)
	if err != nil {
		return err
	}
	for _, ablation := range ablations {
		if !name.MatchString(ablation.Name) {
			continue
		}
		to, err := writeAblation(*root, *out, ablation)
		if err != nil {
			return fmt.Errorf("%s: %w", ablation.Name, err)
		}
		fmt.Println(to)
	}
	return nil
}

// loadAblations reads a list of mechanisms: entries as mutants have them, but without a
// test. That a test fails is the mutants' matter.
func loadAblations(path string) ([]Mutant, error) {
	var list struct {
		Ablations []Mutant `toml:"ablation"`
	}
	meta, err := toml.DecodeFile(path, &list)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown field %s", path, unknown[0])
	}
	return list.Ablations, checkEach(path, "ablation", list.Ablations, (*Mutant).checkChange)
}

// writeAblation copies the tree to a folder of the mechanism's name and switches it off there.
func writeAblation(root, out string, ablation Mutant) (string, error) {
	to := filepath.Join(out, ablation.Name)
	if _, err := os.Stat(to); err == nil {
		return "", fmt.Errorf("%s is there already", to)
	}
	if err := (&scratch{root: to}).fill(root); err != nil {
		return "", err
	}
	_, err := ablation.apply(to)
	return to, err
}
