package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// keyPrefix names the only hash that a customer's key may have.
const keyPrefix = "sha256:"

// emptySecretHash is the SHA-256 of no bytes, which every caller without a
// secret would match.
var emptySecretHash = sha256.Sum256(nil)

// Parse reads and checks a whole document. Lines end in "\n" or "\r\n". If there
// is any fault it returns no document and an *Errors with all of them. It takes
// time and memory in proportion to the text.
func Parse(text []byte) (*Document, error) {
	p := newParser(text)
	rest := string(text)
	for number := 1; rest != ""; number++ {
		line, after, _ := strings.Cut(rest, "\n")
		rest = after
		p.parseLine(strings.TrimSuffix(line, "\r"), number)
	}
	p.checkReferences()
	if err := p.errors.result(); err != nil {
		return nil, err
	}
	return p.document, nil
}

// parser gathers the document, its faults and what only the checks need.
type parser struct {
	document *Document
	errors   Errors
	// printable says that no line needs to be searched for bad characters.
	printable bool
	// tokens is the buffer of the statement being read.
	tokens []token
	// models holds each list of models that a target serves once.
	models map[string][]fleet.ModelID
	// keys, orders and roles hold the line of what must be unique.
	keys   map[[32]byte]int
	orders map[orderKey]int
	roles  map[fleet.TargetID]int
	// references are the names that were not defined yet where they stood.
	references []reference
	// broken holds what a faulty rule would have defined, so that one fault is
	// not reported again at each rule that refers to it.
	broken map[definition]bool
}

// definition is what a rule defines, by its first two words.
type definition struct {
	keyword string
	name    string
}

// orderKey is what makes an order a repetition.
type orderKey struct {
	kind   OrderKind
	name   string
	target fleet.TargetID
}

// newParser returns a parser whose maps have room for the rules of a text.
func newParser(text []byte) *parser {
	customers := bytes.Count(text, []byte("\n"+ruleCustomer+" "))
	targets := bytes.Count(text, []byte("\n"+ruleTarget+" "))
	return &parser{
		document:  newDocument(customers, targets),
		printable: printable(text),
		models:    make(map[string][]fleet.ModelID),
		keys:      make(map[[32]byte]int, customers),
		orders:    make(map[orderKey]int),
		roles:     make(map[fleet.TargetID]int),
		broken:    make(map[definition]bool),
	}
}

// parseLine reads one line without its line end.
func (p *parser) parseLine(line string, number int) {
	if !p.printable {
		if at := findBadCharacter(line); at >= 0 {
			p.errors.add(number, at+1, "byte 0x%02x is not printable UTF-8 text", line[at])
			return
		}
	}
	s := scanLine(line, number, p.tokens)
	p.tokens = s.tokens
	if len(s.tokens) == 0 {
		return
	}
	if s.comment == "" {
		p.errors.add(number, s.end, "the rule has no comment: end it with \"# \" and who asked for it")
	}
	c := &cursor{statement: s, errors: &p.errors}
	p.parseStatement(c)
	if c.failed {
		p.markBroken(s)
	}
}

// markBroken notes what a faulty rule would have defined.
func (p *parser) markBroken(s statement) {
	keyword := s.tokens[0].text
	p.broken[definition{keyword: keyword}] = true
	if len(s.tokens) > 1 {
		p.broken[definition{keyword: keyword, name: s.tokens[1].text}] = true
	}
}

// parseStatement reads the rule by its first word.
func (p *parser) parseStatement(c *cursor) {
	keyword := c.next()
	switch keyword.text {
	case ruleCustomer:
		p.parseCustomer(c)
	case ruleDataCentre:
		p.parseDataCentre(c)
	case ruleModel:
		p.parseModel(c)
	case ruleTarget:
		p.parseTarget(c)
	case ruleCall:
		p.parseCall(c)
	case ruleOrder:
		p.parseOrder(c)
	default:
		c.fail(keyword, "unknown rule %q: want customer, datacentre, model, target, call or order", keyword.text)
	}
}

func (p *parser) parseCustomer(c *cursor) {
	name := c.name("customer")
	c.keyword("share")
	share := c.number("share", MaxShare)
	c.keyword("queue")
	queue := c.number("queue", MaxQueueLimit)
	c.keyword("key")
	keyToken, key := c.keyHash()
	if !c.finish() {
		return
	}
	if first, seen := p.keys[key]; seen {
		c.fail(keyToken, "the key is already that of the customer on line %d", first)
		return
	}
	id := fleet.CustomerID(name.text)
	if first, seen := p.document.Customers[id]; seen {
		c.failDuplicate(name, "customer", first.Line)
		return
	}
	p.keys[key] = c.line
	p.document.Customers[id] = Customer{
		ID: id, Share: share, QueueLimit: queue, KeyHash: key,
		RequestedBy: c.comment, Line: c.line,
	}
}

func (p *parser) parseDataCentre(c *cursor) {
	name := c.name("data centre")
	c.keyword("region")
	region := c.name("region")
	state := c.choice("in", "out")
	if !c.finish() {
		return
	}
	id := fleet.DataCentreID(name.text)
	if first, seen := p.document.DataCentres[id]; seen {
		c.failDuplicate(name, "data centre", first.Line)
		return
	}
	p.document.DataCentres[id] = DataCentre{
		ID: id, Region: fleet.RegionID(region.text), OutOfService: state == "out",
		RequestedBy: c.comment, Line: c.line,
	}
}

func (p *parser) parseModel(c *cursor) {
	name := c.name("model")
	c.keyword("input")
	input := c.number("input", MaxWeight)
	c.keyword("output")
	output := c.number("output", MaxWeight)
	if !c.finish() {
		return
	}
	id := fleet.ModelID(name.text)
	if first, seen := p.document.Models[id]; seen {
		c.failDuplicate(name, "model", first.Line)
		return
	}
	p.document.Models[id] = Model{
		ID: id, InputWeight: fleet.Cost(input), OutputWeight: fleet.Cost(output),
		RequestedBy: c.comment, Line: c.line,
	}
}

func (p *parser) parseCall(c *cursor) {
	name := c.name("call")
	service, method, found := strings.Cut(name.text, ".")
	if !c.failed && (!found || service == "" || method == "") {
		c.fail(name, "call %q is not SERVICE.METHOD", name.text)
	}
	kind := c.choice("once", "repeatable")
	c.keyword("cost")
	cost := c.number("cost", MaxCallCost)
	if !c.finish() {
		return
	}
	key := CallKey{Service: fleet.ServiceID(service), Method: method}
	if first, seen := p.document.Calls[key]; seen {
		c.failDuplicate(name, "call", first.Line)
		return
	}
	p.document.Calls[key] = Call{
		CallKey: key, Once: kind == "once", Cost: fleet.Cost(cost),
		RequestedBy: c.comment, Line: c.line,
	}
	p.refer(referenceServed, service, c.line, name.column)
}

func (p *parser) parseOrder(c *cursor) {
	kind := OrderKind(c.choice(string(OrderLoadModel), string(OrderLoadAdapter), string(OrderLoadVersion), string(OrderRole)))
	name := c.name("order")
	c.keyword("on")
	target := c.name("target")
	if !c.finish() {
		return
	}
	id := fleet.TargetID(target.text)
	key := orderKey{kind: kind, name: name.text, target: id}
	if first, seen := p.orders[key]; seen {
		c.failDuplicate(name, "order", first)
		return
	}
	if first, seen := p.roles[id]; seen && kind == OrderRole {
		c.fail(target, "target %q has a role by line %d already", target.text, first)
		return
	}
	p.orders[key] = c.line
	if kind == OrderRole {
		p.roles[id] = c.line
	}
	p.document.Orders = append(p.document.Orders, Order{
		Kind: kind, Name: name.text, Target: id, RequestedBy: c.comment, Line: c.line,
	})
	p.refer(referenceTarget, target.text, c.line, target.column)
	if kind == OrderLoadModel {
		p.refer(referenceModel, name.text, c.line, name.column)
	}
}

// parseKeyHash reads "sha256:" and 64 hexadecimal digits.
func parseKeyHash(text string) ([32]byte, string) {
	var key [32]byte
	digits, found := strings.CutPrefix(text, keyPrefix)
	if !found {
		return key, "the key must begin with \"sha256:\""
	}
	if len(digits) != hex.EncodedLen(len(key)) {
		return key, "the key must have 64 hexadecimal digits, not " + strconv.Itoa(len(digits))
	}
	if _, err := hex.Decode(key[:], []byte(digits)); err != nil {
		return key, "the key has a character that is not a hexadecimal digit"
	}
	if key == emptySecretHash {
		return key, "the key is that of an empty secret"
	}
	return key, ""
}
