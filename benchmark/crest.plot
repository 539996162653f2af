# Plots the share of short requests answered in time over a run.
# gnuplot -e "data='crest.tsv'; out='crest.png'" benchmark/crest.plot
# where crest.tsv comes from benchmark/crest_table.
set terminal png size 900,400
set output out
set xlabel "seconds"
set ylabel "short requests in time"
set yrange [0:1.05]
plot data using 1:2 with lines lw 2 title "sapphirehook", \
     data using 1:3 with lines lw 2 title "plain queues, random endpoint"
