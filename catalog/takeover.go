package catalog

import "time"

// takeoverPeriod is for how long an instance that took over from silent readers reads the source as they did. If it
// read only when its data had become too old again, changes in between would be learnt late.
const takeoverPeriod = 5 * time.Second

// dueTime returns when data has to be read if it may reach the given age; zero if there is no data yet.
type dueTime func(maxAge time.Duration) time.Time

// readAge returns the age of the data at which this instance reads the source: 0 while it has taken over.
func (c *Catalog) readAge() time.Duration {
	c.mu.Lock()
	takenOver := c.Clock.Now().Before(c.takenOverUntil)
	c.mu.Unlock()
	if c.ReadAge == nil || takenOver {
		return 0
	}
	return c.ReadAge()
}

// readsAsFallback reports whether this instance reads the source only when it has got no recent data from other
// instances.
func (c *Catalog) readsAsFallback() bool { return c.readAge() > 0 }

// configurationDue is the dueTime of the configuration.
func (c *Catalog) configurationDue(maxAge time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return dueAt(c.configurationValidAt, maxAge)
}

// targetsDue is the dueTime of the targets. Those who read them confirm the configuration far more often: if they
// don't, they may have lost the source, and changes of the targets with it. While this instance can't read the
// source either, another attempt for the targets is left to the slower schedule.
func (c *Catalog) targetsDue(maxAge time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := dueAt(c.targetsValidAt, maxAge+targetsAgeSlack)
	unconfirmed := dueAt(c.configurationValidAt, maxAge)
	if !c.sourceLost && !unconfirmed.IsZero() && unconfirmed.Before(due) {
		return unconfirmed
	}
	return due
}

func dueAt(validAt time.Time, maxAge time.Duration) time.Time {
	if validAt.IsZero() {
		return time.Time{}
	}
	return validAt.Add(maxAge)
}

// takeOver makes this instance a regular reader for takeoverPeriod, after it has read what had become too old.
func (c *Catalog) takeOver(age time.Duration) {
	c.mu.Lock()
	c.takenOverUntil = c.Clock.Now().Add(takeoverPeriod)
	c.mu.Unlock()
	c.Log.Info("Took over reading the source, since nobody confirmed the configuration.", "age", age, "for", takeoverPeriod)
}
