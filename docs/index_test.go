package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// index is what the sources of the repository declare and spell out.
type index struct {
	// paths are all files and folders, seen from the root.
	paths map[string]bool
	// suffixes are the ends of these paths that begin after a slash.
	suffixes map[string]bool
	// packages are the identifiers that each package declares at its top.
	packages map[string]map[string]bool
	// members are the fields and methods of each type, whatever its package. A field
	// counts under the keys of its tag as well.
	members map[string]map[string]bool
	// declared are the identifiers that each file declares.
	declared map[string]map[string]bool
	// identifiers are all declared ones.
	identifiers map[string]bool
	// imported are the packages of other modules and of the standard library.
	imported map[string]bool
	// words are those of strings, struct tags, schemas, settings and scripts.
	words map[string]bool
	// texts are all strings of Go files.
	texts map[string]bool
}

var (
	// word is a name within a string or a file that isn't Go.
	word = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*(?:-[A-Za-z0-9_]+)*`)
	// qualified is an identifier after that of its package or type.
	qualified = regexp.MustCompile(`^[A-Za-z_]\w*(\.[A-Za-z_]\w*)+$`)
	// single is one identifier, setting or word.
	single = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(-[A-Za-z0-9_]+)*$`)
	// flag is a flag, perhaps with a value.
	flag = regexp.MustCompile(`^--?([a-z][a-z0-9-]*)`)
	// inCommand is a path or a flag within a command.
	inCommand = regexp.MustCompile(`(?:^|\s)((?:\./)?[\w-]+(?:/[\w.-]+)+|--[a-z][a-z0-9-]*)`)
	// protoField is a field or a value of a schema.
	protoField = regexp.MustCompile(`^\s*(?:repeated |optional )?(?:map<[^>]*>|[\w.]+)?\s+(\w+) = \d+`)
	// protoMessage begins a message or an enumeration.
	protoMessage = regexp.MustCompile(`^\s*(?:message|enum) (\w+)`)
	// sourceFile is a name of a file of a kind that the repository holds.
	sourceFile = regexp.MustCompile(`^[\w.-]+\.(?:go|proto|fbs|md|toml|yml|txt)$`)
	// tagKey is a key that a tag of a field names.
	tagKey = regexp.MustCompile(`"(\w+)[",]`)
	// metric is the whole name of a metric, of which the sources spell out the end.
	metric = regexp.MustCompile(`^ridgeswitch_\w+$`)
	// filePath is the path of such a file.
	filePath = regexp.MustCompile(`\.(?:go|proto|fbs|md|toml|yml|txt)$`)
)

func newIndex() *index {
	return &index{
		paths:       map[string]bool{},
		suffixes:    map[string]bool{},
		packages:    map[string]map[string]bool{},
		members:     map[string]map[string]bool{},
		declared:    map[string]map[string]bool{},
		identifiers: map[string]bool{},
		imported:    map[string]bool{},
		words:       map[string]bool{},
		texts:       map[string]bool{},
	}
}

// notSources are folders that are not the repository's content.
var notSources = []string{".git", "bin", "data", "target"}

// entries is the folder of the bench's entries, of which only the names count.
const entries = "journal/"

// indexSources reads all files of the repository but the pages themselves.
func indexSources(root string) (*index, error) {
	sources := newIndex()
	err := fs.WalkDir(os.DirFS(root), ".", func(found string, entry fs.DirEntry, err error) error {
		if err != nil || found == "." {
			return err
		}
		sources.addFile(found)
		if entry.IsDir() {
			if slices.Contains(notSources, found) {
				return fs.SkipDir
			}
			return nil
		}
		return sources.read(root, found)
	})
	return sources, err
}

// read takes in the content of a file, according to its kind.
func (s *index) read(root, found string) error {
	if strings.HasPrefix(found, entries) {
		s.addWords(found)
		return nil
	}
	if path.Ext(found) == ".md" || path.Dir(found) == "docs" || path.Base(found) == "go.sum" {
		return nil
	}
	content, err := os.ReadFile(filepath.Join(root, found))
	if err != nil {
		return err
	}
	switch path.Ext(found) {
	case ".go":
		return s.addGo(found, string(content))
	case ".proto", ".fbs":
		s.addSchema(string(content))
	default:
		s.addWords(string(content))
	}
	return nil
}

func (s *index) addFile(found string) {
	for ; found != "." && !s.paths[found]; found = path.Dir(found) {
		s.paths[found] = true
		for rest := found; rest != ""; {
			s.suffixes[rest] = true
			_, rest, _ = strings.Cut(rest, "/")
		}
	}
}

func (s *index) addWords(text string) {
	for _, found := range word.FindAllString(text, -1) {
		s.words[found] = true
		for part := range strings.SplitSeq(found, "-") {
			s.words[part] = true
		}
	}
}

// addSchema takes in the messages of a schema with their fields.
func (s *index) addSchema(text string) {
	s.addWords(text)
	// Values of an enumeration belong to the message around it as well.
	outer, message := "", ""
	for line := range strings.Lines(text) {
		if found := protoMessage.FindStringSubmatch(line); found != nil {
			message = found[1]
			if !strings.HasPrefix(line, " ") {
				outer = message
			}
			add(s.members, message, "")
		}
		if found := protoField.FindStringSubmatch(line); found != nil {
			add(s.members, message, found[1])
			add(s.members, outer, found[1])
		}
	}
}

// addGo takes in a Go file.
func (s *index) addGo(found, text string) error {
	file, err := parser.ParseFile(token.NewFileSet(), found, text, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	name := strings.TrimSuffix(file.Name.Name, "_test")
	if name == "main" {
		name = path.Base(path.Dir(found))
	}
	s.words[name] = true
	for _, imported := range file.Imports {
		s.addImport(imported)
	}
	for _, declaration := range file.Decls {
		for _, identifier := range topLevel(declaration) {
			add(s.packages, name, identifier)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		s.addNode(found, node)
		return true
	})
	return nil
}

// modulePath begins the import paths of the repository's packages.
const modulePath = "github.com/ridgeswitch/ridgeswitch/"

func (s *index) addImport(imported *ast.ImportSpec) {
	path, _ := strconv.Unquote(imported.Path.Value)
	if !strings.HasPrefix(path, modulePath) {
		s.imported[path[strings.LastIndex(path, "/")+1:]] = true
	}
}

// topLevel returns the identifiers that a declaration adds to its package.
func topLevel(declaration ast.Decl) []string {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		if declaration.Recv == nil {
			return []string{declaration.Name.Name}
		}
	case *ast.GenDecl:
		var names []string
		for _, spec := range declaration.Specs {
			switch spec := spec.(type) {
			case *ast.TypeSpec:
				names = append(names, spec.Name.Name)
			case *ast.ValueSpec:
				for _, name := range spec.Names {
					names = append(names, name.Name)
				}
			}
		}
		return names
	}
	return nil
}

// addNode takes in what a node declares or spells out.
func (s *index) addNode(file string, node ast.Node) {
	switch node := node.(type) {
	case *ast.FuncDecl:
		s.declare(file, node.Name)
		if receiver := receiverOf(node); receiver != "" {
			add(s.members, receiver, node.Name.Name)
		}
	case *ast.TypeSpec:
		s.declare(file, node.Name)
		add(s.members, node.Name.Name, "")
		switch definition := node.Type.(type) {
		case *ast.StructType:
			s.addFields(node.Name.Name, definition.Fields)
		case *ast.InterfaceType:
			s.addFields(node.Name.Name, definition.Methods)
		}
	case *ast.ValueSpec:
		for _, name := range node.Names {
			s.declare(file, name)
		}
	case *ast.Field:
		for _, name := range node.Names {
			s.declare(file, name)
		}
	case *ast.BinaryExpr:
		s.texts[spelledOut(node)] = true
	case *ast.BasicLit:
		if node.Kind == token.STRING {
			s.addWords(node.Value)
			s.texts[spelledOut(node)] = true
		}
	}
}

// spelledOut is the text of a string, or of strings that are put together.
func spelledOut(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.BasicLit:
		text, _ := strconv.Unquote(expression.Value)
		return text
	case *ast.BinaryExpr:
		return spelledOut(expression.X) + spelledOut(expression.Y)
	}
	return ""
}

func (s *index) declare(file string, name *ast.Ident) {
	s.identifiers[name.Name] = true
	add(s.declared, file, name.Name)
}

func (s *index) addFields(name string, fields *ast.FieldList) {
	for _, field := range fields.List {
		for _, identifier := range field.Names {
			add(s.members, name, identifier.Name)
		}
		if field.Tag != nil {
			for _, found := range tagKey.FindAllStringSubmatch(field.Tag.Value, -1) {
				add(s.members, name, found[1])
			}
		}
		if len(field.Names) == 0 {
			add(s.members, name, typeName(field.Type))
		}
	}
}

func receiverOf(function *ast.FuncDecl) string {
	if function.Recv == nil || len(function.Recv.List) == 0 {
		return ""
	}
	return typeName(function.Recv.List[0].Type)
}

// typeName is the name of a type without its package, pointer and arguments.
func typeName(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.StarExpr:
		return typeName(expression.X)
	case *ast.IndexExpr:
		return typeName(expression.X)
	case *ast.IndexListExpr:
		return typeName(expression.X)
	case *ast.SelectorExpr:
		return expression.Sel.Name
	case *ast.Ident:
		return expression.Name
	}
	return ""
}

func add(sets map[string]map[string]bool, name, element string) {
	if sets[name] == nil {
		sets[name] = map[string]bool{}
	}
	sets[name][element] = true
}

// declares tells whether a file declares an identifier.
func (s *index) declares(file, name string) bool {
	for declaring, names := range s.declared {
		if (declaring == file || strings.HasSuffix(declaring, "/"+file)) && names[name] {
			return true
		}
	}
	return false
}

// hasText tells whether a text is part of a string, or is put together from those of
// containers and a spec.
func (s *index) hasText(text string) bool {
	for found := range s.texts {
		if strings.Contains(found, text) {
			return true
		}
	}
	for at, sign := range text {
		if sign == ' ' && s.texts[text[:at]] && s.hasText(text[at+1:]) {
			return true
		}
	}
	return false
}

// hasPath tells whether there is a file or folder, seen from the root.
func (s *index) hasPath(path string) bool {
	return s.paths[strings.TrimSuffix(path, "/")]
}

// has tells whether what stands in the style of code exists, or is of a kind that
// isn't checked, such as a value or an HTTP path.
func (s *index) has(name string) bool {
	name = strings.TrimSuffix(name, "()")
	switch {
	case strings.ContainsAny(name, " \t"):
		return s.hasCommand(name)
	case flag.MatchString(name):
		return s.hasFlag(name)
	case sourceFile.MatchString(name):
		return s.suffixes[name]
	case strings.Contains(name, "/"):
		return s.hasRelativePath(name)
	case qualified.MatchString(name):
		return s.hasQualified(strings.Split(name, "."))
	case metric.MatchString(name):
		return s.hasMetric(name)
	case single.MatchString(name):
		return s.identifiers[name] || s.words[name] || s.suffixes[name] || s.imported[name]
	}
	return true
}

// hasCommand checks the paths and flags within a command.
func (s *index) hasCommand(command string) bool {
	for _, found := range inCommand.FindAllStringSubmatch(command, -1) {
		if !s.has(found[1]) {
			return false
		}
	}
	return true
}

// hasFlag tells whether a flag is spelled out, or follows from a setting.
func (s *index) hasFlag(name string) bool {
	found := flag.FindStringSubmatch(name)[1]
	return s.words[found] || s.words[strings.ReplaceAll(found, "-", "_")]
}

// hasRelativePath checks a path that begins at the root, or that names a file or
// a folder without the folders above it. Other paths are those of HTTP.
func (s *index) hasRelativePath(name string) bool {
	trimmed := strings.TrimSuffix(strings.TrimSuffix(strings.TrimPrefix(name, "./"), "..."), "/")
	top, _, _ := strings.Cut(trimmed, "/")
	switch {
	case strings.ContainsAny(trimmed, "*{<"):
		return true
	case s.paths[top]:
		return s.paths[trimmed]
	case filePath.MatchString(trimmed):
		return s.suffixes[trimmed]
	}
	return true
}

// hasQualified checks an identifier after that of its package, its type or both.
func (s *index) hasQualified(parts []string) bool {
	if identifiers, found := s.packages[parts[0]]; found && identifiers[parts[1]] {
		return len(parts) < 3 || s.members[parts[1]][parts[2]]
	}
	if members, found := s.members[parts[0]]; found && members[parts[1]] {
		return true
	}
	if s.packages[parts[0]] != nil || s.members[parts[0]] != nil {
		return false
	}
	// The path of a setting, or an identifier of another module.
	return s.imported[parts[0]] || !slices.ContainsFunc(parts, func(part string) bool { return !s.words[part] })
}

// hasMetric tells whether the end of a metric's name is spelled out.
func (s *index) hasMetric(name string) bool {
	for _, rest, found := strings.Cut(name, "_"); found; _, rest, found = strings.Cut(rest, "_") {
		if s.words[rest] {
			return true
		}
	}
	return false
}
