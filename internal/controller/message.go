package controller

import (
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/wire"
)

// Handle takes a message of another entry VM.
func (c *Controller) Handle(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	switch b := e.Body.(type) {
	case *wire.Envelope_FleetJob:
		c.Submit(DecodeJob(from, b.FleetJob, c.cfg.Now()), b.FleetJob.Fence, func(o *wire.FleetOutcome) {
			reply(&wire.Envelope{Body: &wire.Envelope_FleetOutcome{FleetOutcome: o}})
		})
	case *wire.Envelope_FleetCancellation:
		c.Cancel(b.FleetCancellation.Id, from, b.FleetCancellation.Incarnation)
		reply(&wire.Envelope{Body: &wire.Envelope_FleetCancellation{FleetCancellation: b.FleetCancellation}})
	}
}

// EncodeJob returns a job as it is sent to an owner.
func EncodeJob(j *allocator.Job, fence uint64, now time.Time) *wire.FleetJob {
	m := &wire.FleetJob{
		Id: j.ID, Queue: j.Queue, Service: j.Service, Spec: j.Spec, Incarnation: j.Incarnation,
		AgeMicros: now.Sub(j.Arrived).Microseconds(), MayRun: j.MayRun, MaxAttempts: uint32(j.MaxAttempts),
		Admission: admission(j), Priority: uint32(j.Priority), StretchFactor: j.Stretch, TargetLatencyMicros: j.Target.Microseconds(), Fence: fence,
	}
	for _, s := range j.Steps {
		w := &wire.FleetStep{
			Count: uint32(s.Count), Millicores: s.Ask.Millicores, MemoryMb: s.Ask.Memory, Accelerators: s.Ask.Accelerators,
			EstimateMicros: s.Estimate.Microseconds(), Requirement: s.Requirement, AntiAffinity: uint32(s.AntiAffinity),
			DataRack: s.DataRack,
		}
		for _, d := range s.DependsOn {
			w.DependsOn = append(w.DependsOn, uint32(d))
		}
		m.Steps = append(m.Steps, w)
	}
	return m
}

func admission(j *allocator.Job) wire.Admission {
	if j.OnlyWithRoom {
		return wire.Admission_ADMISSION_ROOM
	}
	return wire.Admission_ADMISSION_QUEUE
}

// DecodeJob returns the job that a taker has sent.
func DecodeJob(taker string, m *wire.FleetJob, now time.Time) *allocator.Job {
	j := &allocator.Job{
		ID: m.Id, Queue: m.Queue, Service: m.Service, Spec: m.Spec, Taker: taker, Incarnation: m.Incarnation,
		Arrived: now.Add(-time.Duration(m.AgeMicros) * time.Microsecond), MayRun: m.MayRun, MaxAttempts: int(m.MaxAttempts),
		OnlyWithRoom: m.Admission == wire.Admission_ADMISSION_ROOM, Priority: int(m.Priority), Stretch: m.StretchFactor, Target: time.Duration(m.TargetLatencyMicros) * time.Microsecond,
	}
	for _, s := range m.Steps {
		step := allocator.Step{
			Count: int(s.Count), Ask: allocator.Resources{Millicores: s.Millicores, Memory: s.MemoryMb, Accelerators: s.Accelerators},
			Estimate: time.Duration(s.EstimateMicros) * time.Microsecond, Requirement: s.Requirement,
			AntiAffinity: int(s.AntiAffinity), DataRack: s.DataRack,
		}
		for _, d := range s.DependsOn {
			step.DependsOn = append(step.DependsOn, int(d))
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}
