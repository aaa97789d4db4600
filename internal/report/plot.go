package report

import (
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Layout of the plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// markGray is the gray level of the vertical lines at the marks of a series.
	markGray = 160
)

// plotAll writes the plots of one experiment to PATH-*.png.
func plotAll(path string, results []Result) error {
	for _, r := range results {
		if r.Outage != nil || r.Variant == "alone" {
			if err := plotService(path+"-service-"+r.Variant+".png", r); err != nil {
				return err
			}
		}
	}
	return plotControl(path+"-control.png", results)
}

// plotService plots the service of the large customers over time.
func plotService(file string, r Result) error {
	p := plot.New()
	p.Title.Text = r.Variant + ": service of large customers for one share"
	p.X.Label.Text = "s"
	p.Y.Label.Text = "cost units a second"
	for i, line := range r.Service.Lines {
		if !strings.HasPrefix(line.Name, "large") {
			continue
		}
		points := make(plotter.XYs, len(line.Values))
		for k, v := range line.Values {
			points[k] = plotter.XY{X: float64(k+1) * r.Service.StepSeconds, Y: v}
		}
		if err := addLine(p, plotutil.Color(i), line.Name, points); err != nil {
			return err
		}
	}
	for _, mark := range r.Service.Marks {
		top := plotter.XYs{{X: mark.At, Y: 0}, {X: mark.At, Y: p.Y.Max}}
		if err := addLine(p, color.Gray{Y: markGray}, "", top); err != nil {
			return err
		}
	}
	p.Y.Min = 0
	p.Legend.Left = true
	return p.Save(plotWidth, plotHeight, file)
}

// plotControl plots the control traffic of an instance against the number of instances.
func plotControl(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = "control traffic sent by one instance"
	p.X.Label.Text = "instances"
	p.Y.Label.Text = "bytes a second"
	var mean, busiest, crossRegion plotter.XYs
	for _, r := range results {
		if r.Variant != "fair" {
			continue
		}
		x := float64(r.Instances)
		mean = append(mean, plotter.XY{X: x, Y: r.Control.Mean})
		busiest = append(busiest, plotter.XY{X: x, Y: r.Control.Max})
		crossRegion = append(crossRegion, plotter.XY{X: x, Y: r.Control.CrossRegion})
	}
	names := []string{"mean", "busiest instance", "mean between regions"}
	for i, points := range []plotter.XYs{mean, busiest, crossRegion} {
		if err := addLine(p, plotutil.Color(i), names[i], points); err != nil {
			return err
		}
	}
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	return p.Save(plotWidth, plotHeight, file)
}

// addLine adds a line to a plot, with a legend entry if it has a name.
func addLine(p *plot.Plot, c color.Color, name string, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}
