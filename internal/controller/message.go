package controller

import (
	"math"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/divider"
	"clementineyard/wire"
)

// EncodeJob returns the message that submits a job to the owner that grant g names.
func EncodeJob(j *allocator.Job, g *wire.Grant, now time.Time) *wire.FleetJob {
	m := &wire.FleetJob{
		Cell: divider.CellName(g.FailureDomain, g.Cell),
		Id:   j.ID, Queue: j.Queue, Service: j.Service, Spec: j.Spec, Incarnation: j.Incarnation,
		AgeMicros: now.Sub(j.ArrivedAt).Microseconds(), MayRun: j.MayHaveStarted, MaxAttempts: uint32(j.MaxAttempts),
		Admission: admission(j), Priority: uint32(j.Priority), StretchFactor: j.StretchFactor, TargetLatencyMicros: j.TargetLatency.Microseconds(), Fence: g.Fence,
		Submission: j.Submission, MayRunElsewhere: j.MayRunElsewhere, Origin: j.Origin, Account: j.Account,
	}
	for _, s := range j.Steps {
		w := &wire.FleetStep{
			Count: uint32(s.Count), Millicores: s.Ask.Millicores, MemoryMb: s.Ask.MemoryMiB, Accelerators: s.Ask.Accelerators,
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

// admission returns how the owner is to admit the job.
func admission(j *allocator.Job) wire.Admission {
	if j.RejectIfFull {
		return wire.Admission_ADMISSION_ROOM
	}
	return wire.Admission_ADMISSION_QUEUE
}

// DecodeJob returns the job that a taker has submitted in m, or an error for an invalid one. now is when m arrived.
func DecodeJob(taker string, m *wire.FleetJob, now time.Time) (*allocator.Job, error) {
	j := &allocator.Job{
		ID: m.Id, Queue: m.Queue, Service: m.Service, Spec: m.Spec, Taker: taker, Incarnation: m.Incarnation,
		ArrivedAt: now.Add(-microseconds(m.AgeMicros)), MayHaveStarted: m.MayRun, MaxAttempts: int(m.MaxAttempts),
		RejectIfFull: m.Admission == wire.Admission_ADMISSION_ROOM, Priority: int(m.Priority), StretchFactor: m.StretchFactor, TargetLatency: microseconds(m.TargetLatencyMicros),
		Submission: m.Submission, MayRunElsewhere: m.MayRunElsewhere, Origin: m.Origin, Account: m.Account,
	}
	for _, s := range m.Steps {
		step := allocator.Step{
			Count: int(s.Count), Ask: allocator.Resources{Millicores: s.Millicores, MemoryMiB: s.MemoryMb, Accelerators: s.Accelerators},
			Estimate: microseconds(s.EstimateMicros), Requirement: s.Requirement,
			AntiAffinity: int(s.AntiAffinity), DataRack: s.DataRack,
		}
		for _, d := range s.DependsOn {
			step.DependsOn = append(step.DependsOn, int(d))
		}
		j.Steps = append(j.Steps, step)
	}
	return j, j.Validate(now)
}

// microseconds returns a duration, the longest possible one where n is too large.
func microseconds(n int64) time.Duration {
	return time.Duration(min(max(n, math.MinInt64/int64(time.Microsecond)), math.MaxInt64/int64(time.Microsecond))) * time.Microsecond
}
