package operator

import (
	"fmt"
	"strings"

	"zinniafall/node/operatorapi"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
)

func (c *CLI) addDomainCommands() {
	domain := c.App.Command("domain", "Take failure domains out of service and bring them back.")
	domain.Command("list", "List the failure domains.").Action(action(c.domainList))
	for _, direction := range []struct {
		name, help string
		out        bool
	}{
		{"out", "Take a failure domain out of service: it gets no new work.", true},
		{"in", "Bring a failure domain back into service.", false},
	} {
		var name string
		command := domain.Command(direction.name, direction.help)
		command.Arg("name", "Name of the failure domain.").Required().StringVar(&name)
		flags := addChangeFlags(command)
		command.Action(action(func() error {
			return c.edit(flags, func(_ *config.Document, change *config.Change) error {
				change.DomainsOut = map[model.Domain]bool{model.Domain(name): direction.out}
				return nil
			})
		}))
	}
}

func (c *CLI) domainList() error {
	node, err := c.nodeClient()
	if err != nil {
		return err
	}
	var list operatorapi.DomainList
	if err := node.get("v1/domains", &list); err != nil {
		return err
	}
	return c.print(list, func(t *table) {
		t.row("NAME", "REGION", "STATE", "SERVICES")
		for _, d := range list.Domains {
			state := "in"
			if d.Out {
				state = "out"
			}
			services := strings.Trim(fmt.Sprint(d.Services), "[]")
			t.row(string(d.Name), string(d.Region), state, services)
		}
	})
}
