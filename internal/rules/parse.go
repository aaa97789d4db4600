package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"

	"medlarwind.dev/medlarwind/internal/fleet"
)

// keyPrefix is the prefix of a customer's key. SHA-256 is the only supported hash.
const keyPrefix = "sha256:"

// emptySecretHash is the SHA-256 of the empty string. It is refused as a key because
// every caller without a secret would match it.
var emptySecretHash = sha256.Sum256(nil)

// Parse parses and checks a whole document. Lines end in "\n" or "\r\n". If the
// document is invalid, Parse returns nil and an *Errors with all errors found. It takes
// time and memory linear in the length of the text.
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

// parser holds the document being built, its errors and the state of the checks.
type parser struct {
	document *Document
	errors   Errors
	// isPrintable means that the text has no bad characters and no carriage returns, so
	// its lines need not be searched for them.
	isPrintable bool
	// tokens is a buffer that is reused for the words of each line.
	tokens []token
	// models holds one slice for each distinct list of models, by its text.
	models map[string][]fleet.ModelID
	// keys, orders and roles hold the first line of each key, order and target
	// with a role, which must be unique.
	keys   map[[32]byte]int
	orders map[orderKey]int
	roles  map[fleet.TargetID]int
	// references are the uses of names that no earlier line defined.
	references []reference
	// invalid holds what an invalid rule would have defined, so that its error is
	// not reported again at each rule that refers to it.
	invalid map[definition]bool
}

// definition identifies what a rule defines, by its first two words. An empty name
// stands for any rule with the keyword.
type definition struct {
	keyword string
	name    string
}

// orderKey identifies an order; two orders with the same key are duplicates.
type orderKey struct {
	kind   OrderKind
	name   string
	target fleet.TargetID
}

// newParser returns a parser whose maps are sized for the rules in the text.
func newParser(text []byte) *parser {
	customers := bytes.Count(text, []byte("\n"+ruleCustomer+" "))
	targets := bytes.Count(text, []byte("\n"+ruleTarget+" "))
	return &parser{
		document:    newDocument(customers, targets),
		isPrintable: isPrintable(text),
		models:      make(map[string][]fleet.ModelID),
		keys:        make(map[[32]byte]int, customers),
		orders:      make(map[orderKey]int),
		roles:       make(map[fleet.TargetID]int),
		invalid:     make(map[definition]bool),
	}
}

// parseLine parses one line, given without its line ending.
func (p *parser) parseLine(line string, number int) {
	if !p.isPrintable {
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
		p.errors.add(number, s.end, "the rule has no comment: add \"# \" and who asked for it at the end")
	}
	c := &cursor{statement: s, errors: &p.errors}
	p.parseStatement(c)
	if c.failed {
		p.markInvalid(s)
	}
}

// markInvalid records what an invalid rule would have defined.
func (p *parser) markInvalid(s statement) {
	keyword := s.tokens[0].text
	p.invalid[definition{keyword: keyword}] = true
	if len(s.tokens) > 1 {
		p.invalid[definition{keyword: keyword, name: s.tokens[1].text}] = true
	}
}

// parseStatement parses a rule according to its first word.
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
	c.expect("share")
	share := c.number("share", MaxShare)
	c.expect("queue")
	queue := c.number("queue", MaxQueueLimit)
	c.expect("key")
	keyToken, key := c.keyHash()
	if !c.expectEnd() {
		return
	}
	if first, seen := p.keys[key]; seen {
		c.fail(keyToken, "the key is already used by the customer on line %d", first)
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
	c.expect("region")
	region := c.name("region")
	state := c.oneOf("in", "out")
	if !c.expectEnd() {
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
	c.expect("input")
	input := c.number("input", MaxWeight)
	c.expect("output")
	output := c.number("output", MaxWeight)
	if !c.expectEnd() {
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
	kind := c.oneOf("once", "repeatable")
	c.expect("cost")
	cost := c.number("cost", MaxCallCost)
	if !c.expectEnd() {
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
	p.addReference(referenceTargetService, service, c.line, name.column)
}

func (p *parser) parseOrder(c *cursor) {
	kind := OrderKind(c.oneOf(string(OrderLoadModel), string(OrderLoadAdapter), string(OrderLoadVersion), string(OrderRole)))
	name := c.name("order")
	c.expect("on")
	target := c.name("target")
	if !c.expectEnd() {
		return
	}
	id := fleet.TargetID(target.text)
	key := orderKey{kind: kind, name: name.text, target: id}
	if first, seen := p.orders[key]; seen {
		c.failDuplicate(name, "order", first)
		return
	}
	if first, seen := p.roles[id]; seen && kind == OrderRole {
		c.fail(target, "target %q already has a role from line %d", target.text, first)
		return
	}
	p.orders[key] = c.line
	if kind == OrderRole {
		p.roles[id] = c.line
	}
	p.document.Orders = append(p.document.Orders, Order{
		Kind: kind, Name: name.text, Target: id, RequestedBy: c.comment, Line: c.line,
	})
	p.addReference(referenceTarget, target.text, c.line, target.column)
	if kind == OrderLoadModel {
		p.addReference(referenceModel, name.text, c.line, name.column)
	}
}

// parseKeyHash parses "sha256:" followed by 64 hexadecimal digits. The second result
// is an error message, empty if the text is valid.
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
		return key, "the key is the hash of an empty secret"
	}
	return key, ""
}
