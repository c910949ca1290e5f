package soak

import (
	"image/color"

	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// lineColors are the colors of the outcomes served, refused, failed and no connection, in
// this order.
var lineColors = []color.RGBA{
	{R: 0x20, G: 0x80, B: 0x40, A: 0xff},
	{R: 0xd0, G: 0x90, B: 0x10, A: 0xff},
	{R: 0xc0, G: 0x20, B: 0x20, A: 0xff},
	{R: 0x60, G: 0x60, B: 0x60, A: 0xff},
}

// plotCanvas returns a canvas that draws on an SVG canvas with a white background.
func plotCanvas(c *vgsvg.Canvas) draw.Canvas { return draw.New(c) }
