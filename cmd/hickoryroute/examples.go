package main

// examples holds the text at the end of the help of each sub-command.
var examples = map[string]string{
	"show": `  hickoryroute show > tree.yaml
`,
	"explain": `  hickoryroute explain sask/cluebook
`,
	"set": `  hickoryroute set sask/cluebook 'hedge_percent: 0' --reason "hedges overload cb-03" --expires 2h
`,
	"remove": `  hickoryroute remove sask/cluebook --reason "queues are short again"
`,
	"drain": `  hickoryroute drain sask/cluebook/cb-03 --reason "disk swap" --wait
`,
	"restore": `  hickoryroute restore sask/cluebook/cb-03 --reason "disk swapped"
`,
	"validate": `  hickoryroute validate tree.yaml
`,
	"diff": `  hickoryroute show > tree.yaml
  vi tree.yaml
  hickoryroute diff tree.yaml
`,
	"check-config": `  hickoryroute check-config new.json --store 10.200.1.7:8165 --regions hcm sask
Exit code 5 means that the configuration must not be sent.
`,
	"apply": `  hickoryroute show > tree.yaml
  vi tree.yaml
  hickoryroute apply tree.yaml --reason "add hcm" --wait
The first line of the file names the revision that it was made from. Another
change since then is a conflict (exit code 3).
`,
	"history": `  hickoryroute history --output json
`,
	"roll-forward": `  hickoryroute roll-forward 17 --reason "back to the tree of this morning"
`,
	"watch": `  hickoryroute watch 18 --for 30s
`,
	"status": `  hickoryroute status --address 10.0.1.7:7301
`,
	"front": `  hickoryroute front --address 10.0.1.7:7541
`,
	"timeline": `  hickoryroute timeline --match sask/cluebook
`,
	"demo": `  hickoryroute demo --requests 200
`,
}
