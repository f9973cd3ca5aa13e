package shelfshelf

// EvacuationState holds the data centres whose targets get no new requests because an operator evacuates
// them.
type EvacuationState struct {
	DataCentres []DataCentre
	// AsOf is the position of the store at which the list was complete; 0 if nothing is known. A
	// greater one is newer.
	AsOf uint64
}

// EvacuationUpdate is the part of one read of the store that concerns evacuations.
type EvacuationUpdate struct {
	// Full is set if Started is the full list of evacuated data centres, not only the changes.
	Full    bool
	Started []DataCentre
	Ended   []DataCentre
	// AsOf is the position of the store up to which the update holds.
	AsOf uint64
}
