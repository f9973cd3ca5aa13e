package announced

import (
	"time"

	"github.com/shelfshelf/shelfshelf"
)

// announcementChange describes how an announcement has changed, for the log and Tracker.OnChange.
type announcementChange struct {
	target         shelfshelf.TargetName
	announcement   shelfshelf.TargetAnnouncement
	limitChanged   bool
	leavingChanged bool
	brittleChanged bool
	backoffChanged bool
	// limitReportDue means that a changed limit is due to be logged and, if this instance read it, sent
	// to the others at once. backoffLogDue means that a changed backoff is due to be logged.
	limitReportDue bool
	backoffLogDue  bool
}

// detectChange compares an announcement with its previous state and updates its times of change and of
// logging. The caller must hold t.mu.
func (t *Tracker) detectChange(previous shelfshelf.TargetAnnouncement, a *announcement, now time.Time) announcementChange {
	c := announcementChange{
		target: t.listed[a.Target].Name, announcement: a.TargetAnnouncement,
		limitChanged: previous.Limit != a.Limit, leavingChanged: previous.Leaving != a.Leaving,
		brittleChanged: previous.Brittle != a.Brittle,
		backoffChanged: !previous.BackoffUntil.Equal(a.BackoffUntil),
	}
	if previous.Version != a.Version || previous.BrittleVersion != a.BrittleVersion || c.limitChanged || c.leavingChanged {
		a.changedAt = now
	}
	c.limitReportDue = c.limitChanged && now.Sub(a.limitLoggedAt) >= minLogInterval
	if c.limitReportDue {
		a.limitLoggedAt = now
	}
	c.backoffLogDue = c.backoffChanged && now.Sub(a.backoffLoggedAt) >= minLogInterval
	if c.backoffLogDue {
		a.backoffLoggedAt = now
	}
	return c
}

// reportChange logs a change and calls OnChange; own means that this instance read it from a response.
// The caller must not hold t.mu.
func (t *Tracker) reportChange(c announcementChange, own bool) {
	if !c.limitChanged && !c.leavingChanged && !c.backoffChanged && !c.brittleChanged {
		return
	}
	if c.limitReportDue {
		t.Log.Info("The rate limit of a target changed.", "target", c.target, "named", c.announcement.Limit.Set,
			"perSecond", c.announcement.Limit.PerSecond, "own", own)
	}
	if c.leavingChanged {
		t.Log.Info("The shutdown announcement of a target changed.", "target", c.target, "leaving", c.announcement.Leaving,
			"born", c.announcement.StartedAt, "own", own)
	}
	if c.brittleChanged {
		t.Log.Info("A target announced how brittle it is.", "target", c.target, "refusals", c.announcement.Brittle, "own", own)
	}
	if c.backoffLogDue {
		t.Log.Info("A target asked for a backoff.", "target", c.target, "left", c.announcement.BackoffUntil.Sub(t.Clock.Now()))
	}
	t.OnChange(c.announcement.Target, own && (c.limitReportDue || c.leavingChanged || c.brittleChanged))
}
