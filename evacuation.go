package shelfshelf

// Evacuated is which data centres' targets are to get nothing new, by the operator's word.
type Evacuated struct {
	DataCentres []DataCentre
	// AsOf is the version of the store of which there are no others; 0 if nothing is known. A greater
	// one is newer.
	AsOf uint64
}

// EvacuationUpdate is what one read of the store has brought of evacuations.
type EvacuationUpdate struct {
	// Whole says that there are no others than those of Begun.
	Whole bool
	Begun []DataCentre
	Ended []DataCentre
	// AsOf is the version of the store up to which that holds.
	AsOf uint64
}
