package dynamic

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control/controlpb"
)

const (
	// documentOrderPrefix begins the identities of orders that apply a document.
	documentOrderPrefix = "document/"
	// documentDigestBytes is how many bytes of a document's digest are part of the
	// identity of its order.
	documentDigestBytes = 16
)

// DocumentOrder returns the order that applies a configuration which was made from an
// operator's document. The versions of the document replace the base revision. The identity
// of the order is derived from the versions and the content of the document, so that the
// operator need not choose one. The error is an *Error or Errors.
func DocumentOrder(configuration *ridgeswitchv1.Configuration, source *ridgeswitchv1.Source) (*controlpb.Order, error) {
	return documentOrder(&controlpb.ApplyDocument{Configuration: configuration, Source: source})
}

// ModelDocumentOrder is DocumentOrder for a deployment whose weights are named by
// RaiseModelWeightsOrder. A pool that the document brings in, or gives another model, gets the
// newest version that was named for its model.
func ModelDocumentOrder(configuration *ridgeswitchv1.Configuration, source *ridgeswitchv1.Source) (*controlpb.Order, error) {
	return documentOrder(&controlpb.ApplyDocument{Configuration: configuration, Source: source, WeightsByModel: true})
}

// documentOrder returns the order for a document. It does not modify or share the change.
func documentOrder(document *controlpb.ApplyDocument) (*controlpb.Order, error) {
	configuration, source := document.GetConfiguration(), document.GetSource()
	if err := Validate(configuration); err != nil {
		return nil, err
	}
	if err := checkDocument(configuration, source); err != nil {
		return nil, err
	}
	return &controlpb.Order{
		OrderId: documentOrderID(source),
		Digest:  documentDigest(source),
		Change: &controlpb.Order_ApplyDocument{ApplyDocument: &controlpb.ApplyDocument{
			Configuration:  withoutAssignedFields(configuration),
			Source:         proto.CloneOf(source),
			WeightsByModel: document.GetWeightsByModel(),
		}},
	}, nil
}

// checkDocument checks the rules for documents that Validate does not: the versions and the
// size of the document, and that its configuration contains no evacuations.
func checkDocument(configuration *ridgeswitchv1.Configuration, source *ridgeswitchv1.Source) error {
	check := &checker{}
	switch {
	case source.GetVersion() == 0:
		check.add(KindMissing, "source.version", "is missing; give the document a version above the one that it builds on")
	case source.GetVersion() <= source.GetBaseVersion():
		check.add(KindSourceVersionNotAbove, "source.version", "is not above source.base_version; give the document a higher version")
	}
	if len(source.GetDocument()) > MaxSourceBytes {
		check.add(KindOversize, "source.document", "has %d bytes; use at most %d", len(source.GetDocument()), MaxSourceBytes)
	}
	if len(configuration.GetEvacuations()) > 0 {
		check.add(KindInvalid, "configuration.evacuations", "a document leaves evacuations as they are; remove them and evacuate zones by orders of their own")
	}
	return check.faults.orNil()
}

// OversizeAnswer returns the refusal of an order that takes more bytes than the machines of
// the deployment have room for.
func OversizeAnswer(order *controlpb.Order, revision uint64, bytes, maxBytes int) *controlpb.Answer {
	fault := &Error{
		Kind:    KindOversize,
		Field:   "configuration",
		Message: fmt.Sprintf("takes %d bytes with its document, and the machines have room for %d; reduce it, or give the nodes with disks more disk and memory", bytes, maxBytes),
	}
	return &controlpb.Answer{
		OrderId:  order.GetOrderId(),
		Digest:   order.GetDigest(),
		Revision: revision,
		Problem:  problemOf(fault, revision),
	}
}

// documentOrderID returns the identity of the order for a document. Documents get the same
// identity only if their contents, versions and base versions are equal.
func documentOrderID(source *ridgeswitchv1.Source) string {
	digest := sha256.Sum256(source.GetDocument())
	return fmt.Sprintf("%s%d/%d/%s", documentOrderPrefix, source.GetVersion(), source.GetBaseVersion(),
		hex.EncodeToString(digest[:documentDigestBytes]))
}

// documentDigest returns the digest of the order for a document. It covers the versions and
// the document, but not the configuration, because a node of another release may translate
// the same document into a different configuration.
func documentDigest(source *ridgeswitchv1.Source) []byte {
	digest := sha256.New()
	// A hash never returns an error.
	_, _ = fmt.Fprintf(digest, "%d/%d/", source.GetVersion(), source.GetBaseVersion())
	_, _ = digest.Write(source.GetDocument())
	return digest.Sum(nil)
}

// documentConfiguration returns the configuration that a document leads to. It preserves the
// evacuations in force, and the weight versions of pools that keep their name and model. If
// weights are named by model, other pools inherit the newest version named for their model.
func documentConfiguration(current *ridgeswitchv1.Configuration, document *controlpb.ApplyDocument, named *modelWeights) *ridgeswitchv1.Configuration {
	next := withoutAssignedFields(document.GetConfiguration())
	next.Evacuations = proto.CloneOf(&ridgeswitchv1.Configuration{Evacuations: current.GetEvacuations()}).Evacuations
	pools := lo.KeyBy(current.GetPools(), (*ridgeswitchv1.Pool).GetName)
	for _, pool := range next.GetPools() {
		before := pools[pool.GetName()]
		switch {
		case before.GetModel() == pool.GetModel() && before.GetWeightVersion() != "":
			pool.WeightVersion, pool.WeightsInherited = before.GetWeightVersion(), before.GetWeightsInherited()
		case document.GetWeightsByModel():
			inheritWeights(pool, named.newest(pool.GetModel(), current))
		}
	}
	digest := sha256.Sum256(document.GetSource().GetDocument())
	next.Source = &ridgeswitchv1.SourceVersion{Version: document.GetSource().GetVersion(), Sha256: digest[:]}
	return next
}

// Source returns the document that the configuration in force was made from, or nil. The
// document is shared and must not be modified.
func (m *Machine) Source() *ridgeswitchv1.Source {
	return m.source
}

// sourceInForce reports whether a document is the one in force. A resend of that document is
// accepted even if the answer to its order is no longer stored.
func (m *Machine) sourceInForce(document *controlpb.ApplyDocument) bool {
	inForce := m.configuration.GetSource()
	if document == nil || document.GetSource().GetVersion() != inForce.GetVersion() {
		return false
	}
	if m.source != nil && m.source.GetBaseVersion() != document.GetSource().GetBaseVersion() {
		return false
	}
	digest := sha256.Sum256(document.GetSource().GetDocument())
	return bytes.Equal(digest[:], inForce.GetSha256())
}

// checkSourceBase returns an *Error unless a document is based on the version in force and
// has a higher version.
func (m *Machine) checkSourceBase(source *ridgeswitchv1.Source) error {
	inForce := m.configuration.GetSource().GetVersion()
	if source.GetBaseVersion() != inForce {
		return &Error{
			Kind:    KindBaseRevisionStale,
			Field:   "source.base_version",
			Message: fmt.Sprintf("is %d, and version %d is in force; read the document in force, merge your change and order anew on top of it", source.GetBaseVersion(), inForce),
		}
	}
	if source.GetVersion() <= inForce {
		return &Error{
			Kind:    KindSourceVersionNotAbove,
			Field:   "source.version",
			Message: fmt.Sprintf("is %d, and version %d is in force; choose a higher version", source.GetVersion(), inForce),
		}
	}
	return nil
}

// adoptSource stores the document of the configuration that an order has put in force. An
// order for a complete configuration without a document removes the stored document; an
// order for a single change preserves it.
func (m *Machine) adoptSource(order *controlpb.Order) {
	switch change := order.GetChange().(type) {
	case *controlpb.Order_ApplyDocument:
		m.source = proto.CloneOf(change.ApplyDocument.GetSource())
	case *controlpb.Order_Apply:
		m.source = nil
	}
}
