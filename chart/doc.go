// Package chart draws the reports' plots as SVG.
package chart
